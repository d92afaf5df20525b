//! All parts of a soak, as the load's bench.

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

/// Ports below those that kernels give to connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports that are tried.
const ATTEMPTS: usize = 1_000;

/// Key that the processes of one soak share.
const KEY: &str = "a key for soaks only";

/// Longest time in which all parts must be of use.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two questions whether they are.
const READY_POLL: Duration = Duration::from_millis(100);

/// What the faults act on.
#[derive(Debug)]
pub struct System {
    /// Control members.
    pub controls: Vec<Mutex<Process>>,
    /// Proxies in front of their links.
    pub links: Vec<Proxy>,
    /// Their web addresses.
    pub admins: Vec<SocketAddr>,
    /// Entries.
    pub entries: Vec<Mutex<Process>>,
    /// Proxies in front of what callers connect to.
    pub callers: Vec<Proxy>,
    /// Web addresses of the entries.
    webs: Vec<SocketAddr>,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Asks the control members.
    pub client: reqwest::Client,
    /// The workload.
    pub scenario: Scenario,
}

impl System {
    /// Number of parts of each kind.
    pub fn sizes(&self) -> Sizes {
        Sizes { controls: CONTROLS, entries: ENTRIES, groups: GROUPS }
    }

    /// Starts all processes that don't run, lets all connections pass and heals
    /// the groups.
    ///
    /// # Errors
    /// [`Failure::Start`] or [`Failure::Heal`].
    pub async fn restore(&self) -> Result<(), Report<Failure>> {
        for process in self.controls.iter().chain(&self.entries) {
            process.lock().await.resume()?;
        }
        for proxy in self.links.iter().chain(&self.callers) {
            proxy.set(Mode::Pass);
        }
        for group in &self.groups {
            group.fault(standin::Fault::Heal).await.change_context(Failure::Heal)?;
        }
        Ok(())
    }

    /// Waits until each entry is ready and each member knows a leader.
    ///
    /// # Errors
    /// [`Failure::Heal`].
    pub async fn wait_ready(&self) -> Result<(), Report<Failure>> {
        let all = async {
            for web in self.webs.iter().chain(&self.admins) {
                while !admin::is_ready(&self.client, *web).await {
                    tokio::time::sleep(READY_POLL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all).await.change_context(Failure::Heal)
    }
}

/// All parts, and the faults that are put on them.
#[derive(Debug)]
pub struct Soak {
    system: Arc<System>,
    chaos: Option<Chaos>,
}

/// Addresses that nothing listens on at present. They must be free again each
/// time that a process starts, so they are none that the kernel gives out.
fn free(count: usize) -> Result<Vec<SocketAddr>, Report<Failure>> {
    let mut random = rand::rng();
    let mut held = Vec::new();
    for _ in 0..ATTEMPTS {
        let port = random.random_range(PORTS);
        held.extend(TcpListener::bind(("127.0.0.1", port)));
        if held.len() == count {
            break;
        }
    }
    let address = |held: &TcpListener| held.local_addr().change_context(Failure::Start);
    let found: Vec<_> = held.iter().map(address).collect::<Result<_, _>>()?;
    if found.len() < count {
        return Err(Report::new(Failure::Start));
    }
    Ok(found)
}

async fn proxies(targets: &[SocketAddr]) -> Result<Vec<Proxy>, Report<Failure>> {
    let mut proxies = Vec::new();
    for target in targets {
        proxies.push(Proxy::start(*target).await?);
    }
    Ok(proxies)
}

/// Where programs and files are.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Folder for data and logs.
    pub folder: PathBuf,
}

impl Paths {
    fn process(&self, program: &str, name: &str, arguments: &[(&str, String)]) -> Process {
        let flags = arguments.iter().flat_map(|(flag, value)| [format!("--{flag}"), value.clone()]);
        let arguments = std::iter::once("run".to_owned()).chain(flags).collect();
        let log = self.folder.join(format!("{name}.log"));
        Process::new(self.programs.join(program), arguments, log)
    }
}

impl Soak {
    /// Starts all parts and puts the load's declarations in force.
    ///
    /// # Errors
    /// [`Failure::Start`] or [`Failure::Heal`].
    pub async fn start(
        paths: &Paths,
        scenario: Scenario,
        seed: u64,
        log: &Logger,
    ) -> Result<Self, Report<Failure>> {
        let own = free(2 * CONTROLS + 3 * ENTRIES)?;
        let (control, entry) = own.split_at(2 * CONTROLS);
        let (links, admins) = control.split_at(CONTROLS);
        let links = Links { own: links, proxies: proxies(links).await? };
        let controls = controls(paths, &links, admins);
        let entries = entries(paths, &links, entry);
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
            callers: proxies(&callers).await?,
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

    /// Begins to put faults on the parts; they end when the bench heals.
    pub fn start_faults(&mut self) {
        if let Some(chaos) = &mut self.chaos {
            chaos.start();
        }
    }

    /// What the faults were, and whether a change that was taken is lost.
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
        let told = admin::submit(client, admins, change, READY_POLL, READY_TIMEOUT).await;
        let done = told.is_some_and(|status| status.is_success());
        if done { Ok(()) } else { Err(Report::new(Failure::Start)) }
    }
}

/// Links of control members, and what others find them by.
struct Links<'a> {
    own: &'a [SocketAddr],
    proxies: Vec<Proxy>,
}

fn controls(paths: &Paths, links: &Links<'_>, admins: &[SocketAddr]) -> Vec<Mutex<Process>> {
    let told = links.proxies.iter().zip(admins).enumerate();
    let peers = told.map(|(index, (link, web))| format!("c{index}={}/{web}", link.address()));
    let peers = peers.collect::<Vec<_>>().join(",");
    let control = |(index, (link, web)): (usize, (&SocketAddr, &SocketAddr))| {
        let name = format!("c{index}");
        let data = paths.folder.join(&name).display().to_string();
        let arguments = [
            ("name", name.clone()),
            ("data", data),
            ("link", link.to_string()),
            ("web", web.to_string()),
            ("key", KEY.to_owned()),
            ("peers", peers.clone()),
            ("log-format", "json".to_owned()),
        ];
        Mutex::new(paths.process("trefoil-control", &name, &arguments))
    };
    links.own.iter().zip(admins).enumerate().map(control).collect()
}

fn entries(paths: &Paths, links: &Links<'_>, addresses: &[SocketAddr]) -> Vec<Mutex<Process>> {
    let controls = links.proxies.iter().map(|proxy| proxy.address().to_string());
    let controls = controls.collect::<Vec<_>>().join(",");
    let entry = |(index, own): (usize, &[SocketAddr])| {
        let name = format!("e{index}");
        let arguments = [
            ("name", name.clone()),
            ("zone", "lansing".to_owned()),
            ("callers", own[0].to_string()),
            ("link", own[1].to_string()),
            ("web", own[2].to_string()),
            ("controls", controls.clone()),
            ("key", KEY.to_owned()),
            ("log-format", "json".to_owned()),
        ];
        Mutex::new(paths.process("trefoil-entry", &name, &arguments))
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
        // faults are the plan's
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

/// A folder for one soak within another.
pub fn seed_folder(within: &Path, seed: u64) -> PathBuf {
    within.join(format!("seed-{seed}"))
}
