//! The project's own programs, as separate processes with the commands of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

const FRONTEND: u16 = 8784;
const READINESS: u16 = 8785;
const CONTROL: u16 = 8782;
const METRICS: u16 = 9464;
const INTERNAL: (u16, u16) = (7440, 7455);
const PLATFORM: u16 = 8783;
pub const ZONES: [&str; 3] = ["lansing", "toledo", "green-bay"];
/// `grace_period_s` of the settings.
pub const GRACE: Duration = Duration::from_secs(6);
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Process of a role on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Entry,
    Control,
}

/// Processes of the system on loopback addresses.
pub struct System {
    /// First three bytes of the addresses.
    net: [u8; 3],
    pub folder: PathBuf,
    machines: usize,
    controls: usize,
    children: Vec<(usize, Role, Child)>,
    starts: usize,
    record: Record,
    commands: Vec<(Role, Vec<String>)>,
}

pub type Shared = Arc<Mutex<System>>;

impl System {
    /// Prepares the settings of `machines`, of which the first `controls` serve control.
    pub fn new(machines: usize, controls: usize, record: &Record) -> Self {
        let seed = std::process::id() as usize;
        let free = |net: &[u8; 3]| {
            let at = |host, port| SocketAddr::from((Ipv4Addr::new(net[0], net[1], net[2], host), port));
            let ports = [FRONTEND, READINESS, CONTROL, METRICS, INTERNAL.0, INTERNAL.0 + 1];
            (10..=10 + machines as u8)
                .all(|host| ports.iter().all(|&port| TcpListener::bind(at(host, port)).is_ok()))
                && TcpListener::bind(at(200, PLATFORM)).is_ok()
        };
        let mut nets = (0..200).map(|n| [127, 20 + ((seed + n) % 200) as u8, (seed / 200 % 250) as u8]);
        let net = nets.find(free).expect("free loopback addresses");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let commands = read_commands();
        Self {
            net,
            folder,
            machines,
            controls,
            children: Vec::new(),
            starts: 0,
            record: record.clone(),
            commands,
        }
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host), port))
    }

    fn host(machine: usize) -> u8 {
        10 + machine as u8
    }

    pub fn frontend(&self, machine: usize) -> SocketAddr {
        self.address(Self::host(machine), FRONTEND)
    }

    pub fn readiness(&self, machine: usize) -> SocketAddr {
        self.address(Self::host(machine), READINESS)
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.address(Self::host(machine), CONTROL)
    }

    pub fn control_list(&self) -> Vec<SocketAddr> {
        (0..self.controls).map(|machine| self.control(machine)).collect()
    }

    pub fn platform(&self) -> SocketAddr {
        self.address(200, PLATFORM)
    }

    /// Address of a database server.
    pub fn server(&self, number: u8) -> SocketAddr {
        self.address(100 + number, 8080)
    }

    fn settings(&self, machine: usize, role: Role, bootstrap: bool) -> String {
        let ip = self.frontend(machine).ip();
        let zone = ZONES[machine % ZONES.len()];
        let seeds: Vec<String> = (0..3).map(|m| format!("\"{}\"", self.control(m))).collect();
        let disk = machine < self.controls;
        let (serves, bind, data) = match role {
            Role::Entry => (
                "frontend",
                format!(
                    "frontend_address = \"{}\"\nreadiness_address = \"{}\"",
                    self.frontend(machine),
                    self.readiness(machine)
                ),
                String::new(),
            ),
            Role::Control => (
                "control_plane",
                format!("control = \"{}\"", self.control(machine)),
                self.folder.join(format!("disk-{machine}")).display().to_string(),
            ),
        };
        let name = if role == Role::Entry { "entry" } else { "control" };
        format!(
            r#"node_name = "frontend-{zone}-{machine}"
role = "{name}"
machine_class = "frontend"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "great-lakes"
internal_port_range = [{}, {}]
seeds = [{}]
bootstrap = {bootstrap}
in_tolerance = {disk}
data_directory = "{data}"
discovery = "registration"
entry_point = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql"]
config_mode = "highest"
[zones]
lansing = "great-lakes"
toledo = "great-lakes"
green-bay = "great-lakes"
[bind_addresses]
{bind}
[limits]
cpu_share = 0.45
cpu_cores = 1
memory_mb = 260
max_file_descriptors = 4200
link_mbps = 1000.0
disk_mb = 64
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
connectivity_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 7000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
fencing_required = false
thaw_slack_ms = 300
[cloud_api]
address = "{}"
rate_per_s = 50.0
duties = ["promotion"]
duties_per_s = 50.0
"#,
            INTERNAL.0,
            INTERNAL.1,
            seeds.join(", "),
            self.platform(),
        )
    }

    /// Starts the process of a role on a machine.
    pub fn start(&mut self, machine: usize, role: Role, bootstrap: bool) {
        self.starts += 1;
        let name = format!("{role:?}-{machine}").to_lowercase();
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, self.settings(machine, role, bootstrap)).expect("a settings file");
        if role == Role::Control {
            let _ = fs::create_dir_all(self.folder.join(format!("disk-{machine}")));
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log(machine, role))
            .expect("a log file");
        let (_, words) = self.commands.iter().find(|(known, _)| *known == role).expect("a role");
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("TREFOILLINK_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program must have been built");
        self.record.line("machine", &format!("starts {name} (bootstrap {bootstrap})"));
        self.children.push((machine, role, child));
    }

    pub fn start_all(&mut self) {
        for machine in 0..self.machines {
            if machine < self.controls {
                self.start(machine, Role::Control, true);
            }
            self.start(machine, Role::Entry, true);
        }
    }

    fn log(&self, machine: usize, role: Role) -> PathBuf {
        self.folder.join(format!("{role:?}-{machine}.log").to_lowercase())
    }

    /// Sends a signal to a process that this run started.
    pub fn signal(&mut self, machine: usize, role: Role, signal: &str) {
        let found = self.children.iter().rev().find(|(m, r, _)| (*m, *r) == (machine, role));
        if let Some((_, _, child)) = found {
            let name = format!("{role:?}-{machine}").to_lowercase();
            self.record.line("machine", &format!("sends SIG{signal} to {name}"));
            let order = format!("kill -s {signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &order]).status();
        }
    }

    /// Stops all processes of a machine as planned, and starts them again (`roll_term`): with
    /// SIGTERM, and with SIGKILL after the grace period.
    pub fn roll(shared: &Shared, machine: usize) {
        let roles = shared.lock().unwrap().roles(machine);
        for role in &roles {
            shared.lock().unwrap().signal(machine, *role, "TERM");
        }
        let (late, started) = (Arc::clone(shared), shared.lock().unwrap().starts);
        let stopped = roles.clone();
        thread::spawn(move || {
            thread::sleep(GRACE);
            let mut system = late.lock().unwrap();
            if system.starts == started {
                stopped.iter().for_each(|role| system.signal(machine, *role, "KILL"));
            }
        });
        for role in roles {
            Self::restart(shared, machine, role);
        }
    }

    /// Roles of a machine.
    fn roles(&self, machine: usize) -> Vec<Role> {
        let control = (machine < self.controls).then_some(Role::Control);
        control.into_iter().chain([Role::Entry]).collect()
    }

    /// Waits for the end of a process, and starts it again after a short delay.
    pub fn restart(shared: &Shared, machine: usize, role: Role) {
        let at = {
            let system = shared.lock().unwrap();
            system.children.iter().rposition(|(m, r, _)| (*m, *r) == (machine, role))
        };
        let Some(at) = at else { return };
        while matches!(shared.lock().unwrap().children[at].2.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(10));
        }
        shared.lock().unwrap().record.line("machine", &format!("{role:?} of {machine} has ended"));
        thread::sleep(RESTART_DELAY);
        shared.lock().unwrap().start(machine, role, false);
    }

    /// Last log line of an entry about a group: primary and lease.
    pub fn assignment(&self, machine: usize, group: &str) -> Option<(String, String)> {
        let text = fs::read_to_string(self.log(machine, Role::Entry)).ok()?;
        let about = |line: &&str| {
            line.contains("a group changed") && line.contains(&format!("\"group\":\"{group}\""))
        };
        let line = text.lines().rev().find(about)?;
        let value = |name| crate::net::field(line, name).unwrap_or_default();
        Some((value("primary"), value("lease")))
    }

    /// Machines whose entries hold a lease on a group, by their logs.
    pub fn keepers(&self, group: &str) -> Vec<usize> {
        let holds = |machine: &usize| {
            self.assignment(*machine, group).is_some_and(|(_, lease)| lease == "held")
        };
        (0..self.machines).filter(holds).collect()
    }

    /// Ends all processes and removes the folder, unless `KEEP` is set.
    pub fn end(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.end();
    }
}

/// Reads the commands of the roles from the deploy file.
fn read_commands() -> Vec<(Role, Vec<String>)> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let mut commands = Vec::new();
    let mut role = None;
    for line in text.lines() {
        match line.trim() {
            "[roles.entry]" => role = Some(Role::Entry),
            "[roles.control]" => role = Some(Role::Control),
            line if line.starts_with("run = \"") => {
                let words = line.trim_start_matches("run = \"").trim_end_matches('"');
                let words = words.split(' ').map(str::to_owned).collect();
                commands.extend(role.map(|role| (role, words)));
            }
            _ => {}
        }
    }
    commands
}

/// Waits until a condition holds; false if it does not in time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
