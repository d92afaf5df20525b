//! Replicated states of a given size, built by applying the same commands as a
//! real log.

use config::model::{Measure, Objective};
use config::{Declarations, Group, Labels, Limits, Patch, Selector, Service};
use control::State;
use wire::log::{Announce, Command, Configure, Join, Label, command::Body};

/// Numbers of entries for which `change` and `beat` are measured.
pub(crate) const ENTRIES: [usize; 4] = [9, 90, 900, 3_600];

/// Number of backend servers per group.
pub(crate) const SERVERS: usize = 3;

/// Size of a state: numbers of entries, groups and services.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Size {
    pub(crate) entries: usize,
    pub(crate) groups: usize,
    pub(crate) services: usize,
}

/// Builds a state of the given size.
pub(crate) fn build_state(size: Size) -> State {
    let mut state = State::default();
    let mut apply = |body| {
        let index = state.index + 1;
        state.apply(index, &Command { body: Some(body) });
    };
    apply(configure("first", 0, &build_declarations(size)));
    for entry in 0..size.entries {
        apply(join(entry));
    }
    for group in 0..size.groups {
        for server in 0..SERVERS {
            apply(announce(group, server));
        }
    }
    state
}

/// Returns the command that replaces the declarations as a whole. `change` is the
/// id of the change and `base` the version that the change is based on.
pub(crate) fn configure(change: &str, base: u64, declarations: &Declarations) -> Body {
    let (change, patch) = (change.to_owned(), String::new());
    Body::Configure(Configure { change, base, content: declarations.canonical(), patch })
}

/// Returns the command that changes the weight of the first service, as a patch
/// against `from`. `change` is the id of the change and `base` the version of
/// `from`.
pub(crate) fn change_weight(change: &str, base: u64, from: &Declarations, weight: u32) -> Body {
    let mut to = from.clone();
    if let Some(service) = to.services.values_mut().next() {
        service.weight = weight;
    }
    let patch = Patch::between(from, &to).text();
    let change = change.to_owned();
    Body::Configure(Configure { change, base, content: String::new(), patch })
}

/// Returns the command by which the entry with the given number joins.
pub(crate) fn join(entry: usize) -> Body {
    Body::Join(Join {
        entry: format!("entry-{entry}"),
        incarnation: 1,
        address: format!("10.0.{}.{}:6433", entry / 250, entry % 250 + 1),
        zone: format!("region-{}-zone-{}", entry % 5, entry % 16),
        web: format!("10.0.{}.{}:9464", entry / 250, entry % 250 + 1),
        sole: false,
        weight: 0,
    })
}

/// Returns the announcement of a server.
pub(crate) fn announce(group: usize, server: usize) -> Body {
    Body::Announce(Announce {
        server: format!("group-{group}-{server}"),
        incarnation: 1,
        group: format!("group-{group}"),
        address: format!("10.{}.{}.{}:5432", server + 1, group / 250, group % 250 + 1),
        zone: format!("region-{}-zone-{}", group % 5, (group + server) % 16),
        labels: vec![Label { key: "tier".to_owned(), value: "main".to_owned() }],
        connections: 40,
        slots: 3,
        leaving: false,
        primary: false,
        sequence: 0,
    })
}

/// Builds declarations with one selector per service.
pub(crate) fn build_declarations(size: Size) -> Declarations {
    let name = |text: String| text.parse().expect("the name is valid");
    let mut declarations = Declarations::default();
    for group in 0..size.groups {
        let group = (name(format!("group-{group}")), Group { servers: 3, ..Group::default() });
        declarations.groups.extend([group]);
    }
    for service in 0..size.services {
        let label = (name("app".to_owned()), name(format!("app-{service}")));
        let labels: Labels = [label].into_iter().collect();
        let objective = Objective { measure: Measure::Latency, target: 0.999, within_ms: 100 };
        let limits = Limits::default();
        let objectives = vec![objective];
        let declared = Service { labels: labels.clone(), weight: 1, limits, objectives };
        declarations.services.insert(name(format!("service-{service}")), declared);
        let selector = Selector {
            services: labels,
            groups: vec![name(format!("group-{}", service % size.groups.max(1)))],
            backends: Labels::new(),
            kinds: std::collections::BTreeMap::new(),
        };
        declarations.selectors.insert(name(format!("selector-{service}")), selector);
    }
    declarations
}
