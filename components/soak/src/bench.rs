//! The processes, proxies and groups of a soak, as a system under load.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use base::prelude::*;
use load::bench::{Snapshot, settings as group_settings};
use load::scenario::GROUPS;
use load::{Bench, Scenario};
use local::admin;
use rand::RngExt as _;
use slog::Logger;
use standin::Group;
use tokio::sync::Mutex;

use crate::Failure;
use crate::chaos::Chaos;
use crate::plan::Sizes;
use crate::process::Process;
use crate::proxy::{Mode, Proxy};

/// Number of control members.
const CONTROLS: usize = 3;

/// Number of entries.
const ENTRIES: usize = 4;

/// Candidate ports, below the range from which the kernel chooses ephemeral ports.
const CANDIDATE_PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Number of candidate ports that are tried.
const PORT_ATTEMPTS: usize = 1_000;

/// Link key that the processes of a soak share.
const LINK_KEY: &str = "a key for soaks only";

/// Longest time until the declarations are applied, and separately until all
/// components are ready.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two checks whether a component is ready, and between two attempts to
/// submit the declarations.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The components of a soak, which the faults act on.
#[derive(Debug)]
pub struct System {
    /// Processes of the control members.
    pub controls: Vec<Mutex<Process>>,
    /// Proxies in front of the control members' links.
    pub links: Vec<Proxy>,
    /// Addresses of the control members' web servers.
    pub admins: Vec<SocketAddr>,
    /// Processes of the entries.
    pub entries: Vec<Mutex<Process>>,
    /// Proxies in front of the entries' addresses for callers.
    pub callers: Vec<Proxy>,
    /// Addresses of the entries' web servers.
    webs: Vec<SocketAddr>,
    /// Stand-in database groups.
    pub groups: Vec<Group>,
    /// HTTP client for requests to control members and entries.
    pub client: reqwest::Client,
    /// Workload that callers run.
    pub scenario: Scenario,
}

impl System {
    /// Number of components of each kind.
    pub fn sizes(&self) -> Sizes {
        Sizes { controls: CONTROLS, entries: ENTRIES, groups: GROUPS }
    }

    /// Removes all faults: resumes or starts all processes, lets all connections pass
    /// and heals the groups.
    ///
    /// # Errors
    /// [`Failure::Start`] when a process does not start, [`Failure::Heal`] when a
    /// group cannot be healed.
    pub async fn restore(&self) -> Result<(), Report<Failure>> {
        for process in self.controls.iter().chain(&self.entries) {
            process.lock().await.resume()?;
        }
        for proxy in self.links.iter().chain(&self.callers) {
            proxy.set(Mode::Pass);
        }
        for group in &self.groups {
            group.inject(standin::Fault::Heal).await.change_context(Failure::Heal)?;
        }
        Ok(())
    }

    /// Waits until each entry is ready and each control member knows a leader.
    ///
    /// # Errors
    /// [`Failure::Heal`] after a minute.
    pub async fn wait_ready(&self) -> Result<(), Report<Failure>> {
        let all_ready = async {
            for web in self.webs.iter().chain(&self.admins) {
                while !admin::is_ready(&self.client, *web).await {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all_ready).await.change_context(Failure::Heal)
    }
}

/// A running soak: the components, and the faults that are injected into them.
#[derive(Debug)]
pub struct Soak {
    system: Arc<System>,
    chaos: Option<Chaos>,
}

/// Finds addresses that nothing listens on at present. They must still be free each
/// time that a process restarts, so they are outside of the kernel's range of
/// ephemeral ports.
fn find_addresses(count: usize) -> Result<Vec<SocketAddr>, Report<Failure>> {
    let mut random = rand::rng();
    let mut held = Vec::new();
    for _ in 0..PORT_ATTEMPTS {
        let port = random.random_range(CANDIDATE_PORTS);
        held.extend(TcpListener::bind(("127.0.0.1", port)));
        if held.len() == count {
            break;
        }
    }
    let address = |held: &TcpListener| held.local_addr().change_context(Failure::Start);
    let addresses: Vec<_> = held.iter().map(address).collect::<Result<_, _>>()?;
    if addresses.len() < count {
        return Err(Report::new(Failure::Start));
    }
    Ok(addresses)
}

async fn start_proxies(targets: &[SocketAddr]) -> Result<Vec<Proxy>, Report<Failure>> {
    let mut proxies = Vec::new();
    for target in targets {
        proxies.push(Proxy::start(*target).await?);
    }
    Ok(proxies)
}

/// The folders that a soak uses.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Folder that contains the programs.
    pub programs: PathBuf,
    /// Folder for data and logs.
    pub folder: PathBuf,
}

impl Paths {
    fn new_process(&self, program: &str, name: &str, arguments: &[(&str, String)]) -> Process {
        let flags = arguments.iter().flat_map(|(flag, value)| [format!("--{flag}"), value.clone()]);
        let arguments = std::iter::once("run".to_owned()).chain(flags).collect();
        let log = self.folder.join(format!("{name}.log"));
        Process::new(self.programs.join(program), arguments, log)
    }
}

impl Soak {
    /// Starts all components and applies the declarations of the workload.
    ///
    /// # Errors
    /// [`Failure::Start`] when a component does not start or the declarations are
    /// not applied in time, [`Failure::Heal`] when a group cannot be healed or a
    /// component is not ready in time.
    pub async fn start(
        paths: &Paths,
        scenario: Scenario,
        seed: u64,
        log: &Logger,
    ) -> Result<Self, Report<Failure>> {
        let addresses = find_addresses(2 * CONTROLS + 3 * ENTRIES)?;
        let (control, entry) = addresses.split_at(2 * CONTROLS);
        let (links, admins) = control.split_at(CONTROLS);
        let links = Links { addresses: links, proxies: start_proxies(links).await? };
        let controls = new_controls(paths, &links, admins);
        let entries = new_entries(paths, &links, entry);
        let callers: Vec<_> = entry.iter().step_by(3).copied().collect();
        let mut groups = Vec::new();
        for index in 0..GROUPS {
            let settings = group_settings(scenario, index, seed, log);
            let settings = standin::Settings { controls: admins.to_vec(), ..settings };
            groups.push(Group::start(settings).await.change_context(Failure::Start)?);
        }
        let system = Arc::new(System {
            controls,
            links: links.proxies,
            admins: admins.to_vec(),
            entries,
            callers: start_proxies(&callers).await?,
            webs: entry.iter().skip(2).step_by(3).copied().collect(),
            groups,
            client: reqwest::Client::new(),
            scenario,
        });
        system.restore().await?;
        let chaos = Some(Chaos::new(Arc::clone(&system), seed));
        let soak = Self { system, chaos };
        soak.declare().await?;
        soak.system.wait_ready().await?;
        Ok(soak)
    }

    /// Starts to inject faults, until the system is healed.
    pub fn start_faults(&mut self) {
        if let Some(chaos) = &mut self.chaos {
            chaos.start();
        }
    }

    /// Reports the injected faults, and whether an acknowledged change of the
    /// declarations was lost.
    pub async fn report(&self) -> crate::chaos::Summary {
        match &self.chaos {
            Some(chaos) => chaos.report().await,
            None => crate::chaos::Summary::default(),
        }
    }

    async fn declare(&self) -> Result<(), Report<Failure>> {
        let System { client, admins, scenario, .. } = &*self.system;
        let content = scenario.declarations().canonical();
        let change = admin::Change { id: "first", base: 0, content: &content };
        let status =
            admin::submit(client, admins, change, READY_POLL_INTERVAL, READY_TIMEOUT).await;
        let is_applied = status.is_some_and(|status| status.is_success());
        if is_applied { Ok(()) } else { Err(Report::new(Failure::Start)) }
    }
}

/// Link addresses of the control members, and the proxies through which other
/// processes reach them.
struct Links<'a> {
    addresses: &'a [SocketAddr],
    proxies: Vec<Proxy>,
}

fn new_controls(paths: &Paths, links: &Links<'_>, admins: &[SocketAddr]) -> Vec<Mutex<Process>> {
    let members = links.proxies.iter().zip(admins).enumerate();
    let peers = members.map(|(index, (link, web))| format!("c{index}={}/{web}", link.address()));
    let peers = peers.collect::<Vec<_>>().join(",");
    let control = |(index, (link, web)): (usize, (&SocketAddr, &SocketAddr))| {
        let name = format!("c{index}");
        let data = paths.folder.join(&name).display().to_string();
        let arguments = [
            ("name", name.clone()),
            ("data", data),
            ("link", link.to_string()),
            ("web", web.to_string()),
            ("key", LINK_KEY.to_owned()),
            ("peers", peers.clone()),
            ("log-format", "json".to_owned()),
        ];
        Mutex::new(paths.new_process("trefoil-control", &name, &arguments))
    };
    links.addresses.iter().zip(admins).enumerate().map(control).collect()
}

fn new_entries(paths: &Paths, links: &Links<'_>, addresses: &[SocketAddr]) -> Vec<Mutex<Process>> {
    let controls = links.proxies.iter().map(|proxy| proxy.address().to_string());
    let controls = controls.collect::<Vec<_>>().join(",");
    let entry = |(index, addresses): (usize, &[SocketAddr])| {
        let name = format!("e{index}");
        let arguments = [
            ("name", name.clone()),
            ("zone", "lansing".to_owned()),
            ("callers", addresses[0].to_string()),
            ("link", addresses[1].to_string()),
            ("web", addresses[2].to_string()),
            ("controls", controls.clone()),
            ("key", LINK_KEY.to_owned()),
            ("log-format", "json".to_owned()),
        ];
        Mutex::new(paths.new_process("trefoil-entry", &name, &arguments))
    };
    addresses.chunks(3).enumerate().map(entry).collect()
}

impl Bench for Soak {
    async fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let callers = self.system.callers.iter().map(Proxy::address).collect();
        vec![callers; GROUPS]
    }

    async fn snapshot(&self, group: usize) -> Snapshot {
        Snapshot::of(&self.system.groups[group])
    }

    async fn inject(
        &mut self,
        _fault: load::Fault,
        _group: usize,
        _round: usize,
    ) -> Result<(), Report<load::Failure>> {
        // the faults of a soak come from its plan, not from the load
        Err(Report::new(load::Failure::Fault))
    }

    async fn heal(&mut self) -> Result<(), Report<load::Failure>> {
        if let Some(chaos) = &mut self.chaos {
            chaos.stop().await;
        }
        self.system.restore().await.change_context(load::Failure::Fault)?;
        self.system.wait_ready().await.change_context(load::Failure::Fault)
    }

    async fn stop(mut self) {
        drop(self.heal().await);
        for process in self.system.entries.iter().chain(&self.system.controls) {
            process.lock().await.stop().await;
        }
    }
}

/// Folder of the soak with the given seed, inside another folder.
pub fn seed_folder(parent: &Path, seed: u64) -> PathBuf {
    parent.join(format!("seed-{seed}"))
}
