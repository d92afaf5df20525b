//! Splits one limit of a backend server between the keepers of its group.

use smallvec::SmallVec;

use crate::rendezvous::KEEPERS_PER_GROUP;

/// Current use of one limit of a server.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// The limit: connections or concurrent statements.
    pub limit: u32,
    /// Amount held by entries that are no keepers, or whose shares can't grow now.
    pub unavailable: u32,
    /// Amount held by each keeper whose share can grow.
    pub held: SmallVec<[u32; KEEPERS_PER_GROUP]>,
    /// Number of keepers that the limit is split between.
    pub keepers: usize,
    /// Whether any share may grow now.
    pub may_grow: bool,
}

/// Share of each keeper in `held`. `turn` is the index of the server's seat: an odd
/// unit goes to the first keeper at even values and to the second at odd ones. A
/// keeper that already holds half of the limit, rounded down or up, keeps its
/// share. The whole limit is due to a single keeper.
pub fn split(allocation: &Allocation, turn: usize) -> SmallVec<[u32; KEEPERS_PER_GROUP]> {
    let mut shares = allocation.held.clone();
    let held: u32 = shares.iter().sum();
    let wanted = wanted(allocation, turn);
    if held + allocation.unavailable > allocation.limit {
        shrink(allocation, &wanted, &mut shares);
        return shares;
    }
    if !allocation.may_grow {
        return shares;
    }
    let mut free = allocation.limit - allocation.unavailable - held;
    for (share, wanted) in shares.iter_mut().zip(wanted) {
        let more = wanted.saturating_sub(*share).min(free);
        *share += more;
        free -= more;
    }
    shares
}

fn shrink(allocation: &Allocation, wanted: &[u32], shares: &mut [u32]) {
    let mut left = allocation.limit.saturating_sub(allocation.unavailable);
    for (share, &wanted) in shares.iter_mut().zip(wanted) {
        *share = (*share).min(wanted).min(left);
        left -= *share;
    }
}

fn wanted(allocation: &Allocation, turn: usize) -> SmallVec<[u32; KEEPERS_PER_GROUP]> {
    let (limit, held) = (allocation.limit, &allocation.held);
    if allocation.keepers < KEEPERS_PER_GROUP {
        return held.iter().map(|_| limit).collect();
    }
    let (less, more) = (limit / 2, limit.div_ceil(2));
    let fits = |share: u32| share > 0 && (less..=more).contains(&share);
    let odd_first = turn.is_multiple_of(2);
    match held[..] {
        [first, _] if fits(first) => [first, limit - first].into_iter().collect(),
        [_, second] if fits(second) => [limit - second, second].into_iter().collect(),
        [_, _] if odd_first => [more, less].into_iter().collect(),
        [_, _] => [less, more].into_iter().collect(),
        [only] if fits(only) => [only].into_iter().collect(),
        _ => held.iter().map(|_| if odd_first { more } else { less }).collect(),
    }
}
