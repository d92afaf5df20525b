//! Memory of a member with many slow entries.

use control::Feed;
use control::State;
use control::feed::Known;
use link::Frame;
use member::outbox::{Due, MAX_BYTES, Outbox, PAUSE_BYTES, queue};
use wire::control::{Down, Update, down};
use wire::log::{Command, Join, Replace, command::Body};

const FOLLOWERS: usize = 300;

/// Budget of a host of 160 MB for its queues, in bytes.
const BUDGET: usize = 16 << 20;

struct Follower {
    outbox: Outbox,
    due: Due,
    known: Known,
    state: State,
}

fn frame(update: Update) -> Frame {
    Frame::encode(&Down { body: Some(down::Body::Update(update)) }).expect("a frame")
}

/// Guards against a member that exceeds its memory for entries that read nothing, and
/// against an entry that lacks updates for good because it was slow.
#[tokio::test]
async fn a_storm_of_joins_and_editions_stays_within_the_budget_of_300_slow_followers() {
    let mut state = State::default();
    state.skip_to(1);
    let now = base::prelude::Instant::ZERO;
    let mut feed = Feed::new(now, &state);
    let mut followers: Vec<Follower> = (0..FOLLOWERS)
        .map(|_| {
            let (outbox, due) = queue();
            let known = Known { index: 1, version: 0 };
            Follower { outbox, due, known, state: state.clone() }
        })
        .collect();
    let mut edition = 0;
    for round in 0..1_000_u64 {
        let mut commands = Vec::new();
        if round < 900 {
            edition += 1;
            let mut declarations = config::Declarations::default();
            let group = |at: u64| {
                let servers = 1 + ((at * 2_654_435_761 + edition * 40_503) >> 7) as u32 % 1_000;
                let name = format!("group-{at}").parse().expect("a name");
                (name, config::Group { servers, ..config::Group::default() })
            };
            declarations.groups = (0..100).map(group).collect();
            let replace = Replace::new(edition, &declarations.canonical(), b"");
            commands.push(Body::Replace(replace));
            commands.push(Body::Join(Join {
                entry: format!("entry-{}", round % 300),
                incarnation: round + 1,
                address: "10.0.0.1:1".to_owned(),
                zone: "zone".to_owned(),
                ..Join::default()
            }));
        }
        for body in commands {
            let command = Command { body: Some(body) };
            let index = state.index + 1;
            state.apply(index, &command);
            feed.observe(now, &state, Some(&command));
        }
        for (at, follower) in followers.iter_mut().enumerate() {
            // one third reads nothing before the end, one third one message in ten rounds
            let reads = match at % 3 {
                0 => round >= 900,
                1 => round.is_multiple_of(10) || round >= 900,
                _ => true,
            };
            if reads && follower.outbox.queued() > 0 {
                let mut burst = Vec::new();
                follower.due.receive(&mut burst, 16).await;
                follower.due.written(&burst);
            }
            if follower.outbox.is_paused() || follower.known.index == state.index {
                continue;
            }
            let update = feed.shared_update(&state, follower.known);
            follower.state.update(&update).expect("an update");
            assert_eq!(follower.outbox.send(&frame(update)), Ok(()));
            follower.known = Known { index: state.index, version: state.version };
        }
        let queued: usize = followers.iter().map(|follower| follower.outbox.queued()).sum();
        assert!(queued <= BUDGET, "{queued} bytes queued in round {round}");
    }
    for follower in &followers {
        assert_eq!(follower.state.index, state.index);
        assert_eq!(follower.state.declarations, state.declarations);
    }
}

/// Guards against a queue without a limit for a link that gets more than updates.
#[test]
fn a_full_queue_accepts_nothing() {
    let (outbox, _due) = queue();
    let content = vec![0; PAUSE_BYTES / 2].into();
    let frame = frame(Update { content, ..Update::default() });
    let accepted = (0..100).take_while(|_| outbox.send(&frame).is_ok()).count();
    assert!(accepted * frame.len() <= MAX_BYTES + frame.len(), "{accepted} messages");
    assert!(outbox.is_paused());
}

/// Guards against an entry that can never get an image larger than the limit of the queue.
#[test]
fn an_image_larger_than_the_limit_is_queued_whole() {
    let (outbox, _due) = queue();
    let content = vec![0; MAX_BYTES].into();
    let piece = frame(Update { content, ..Update::default() });
    assert_eq!(outbox.send_all(&vec![piece.clone(); 12]), Ok(()));
    assert!(outbox.send(&piece).is_err());
}
