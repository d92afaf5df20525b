//! The servers of a simulated group in the control state.

use std::collections::BTreeMap;

use base::prelude::*;
use standin::Group;
use wire::log::Share;

/// Slots of a server, and the connections and slots of it that a lease grants.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub slots: u32,
    pub granted: (u32, u32),
}

/// Adds the servers of a group to the control state. Returns the group with a seat for each,
/// and the shares of a lease on it.
pub fn add(
    state: &mut control::State,
    name: &Name,
    group: &Group,
    size: Size,
) -> (control::Group, Vec<Share>) {
    let (mut control_group, mut shares) = (control::Group::default(), Vec::new());
    let seats = group.statuses().into_iter().map(|status| status.server);
    for (seat, address) in seats.zip(group.servers()) {
        let server = control::Server {
            incarnation: 1,
            group: name.clone(),
            address,
            zone: Name::new("lansing").unwrap(),
            labels: BTreeMap::new(),
            connections: 16,
            slots: size.slots,
            leaving: false,
            expired: false,
            primary: false,
        };
        let (connections, slots) = size.granted;
        shares.push(Share { server: seat.to_string(), connections, slots });
        state.servers.insert(seat.clone(), server);
        control_group.seats.push(seat);
    }
    (control_group, shares)
}
