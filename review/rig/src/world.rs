//! A small deployment: the system, one service with three servers, the platform, and the
//! operator's first configuration.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::group::Group;
use crate::net::call;
use crate::platform;
use crate::record::Record;
use crate::system::{Shared, System, ZONES, wait_until};

pub const SERVICE: &str = "cuno82a";
/// Database of a `primary` route.
pub const PRIMARY: &str = "lepu270";
/// Database of a `bounded_staleness` route.
pub const BOUNDED: &str = "xapu221";
pub const SERVERS: [&str; 3] = ["i-aaaa0001", "i-bbbb0002", "i-cccc0003"];

/// Why a case could not run.
#[derive(Debug)]
pub struct Unable(pub String);

pub type Outcome<T> = Result<T, Unable>;

pub fn unable<T>(text: impl Into<String>) -> Outcome<T> {
    Err(Unable(text.into()))
}

pub struct World {
    pub system: Shared,
    pub group: Arc<Group>,
    pub record: Record,
}

impl Drop for World {
    fn drop(&mut self) {
        if let Ok(mut system) = self.system.lock() {
            system.end();
        }
    }
}

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"r-1","host":"lepu270","path_prefix":"/","route_type":"primary","timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"cuno82a","max_attempts":2},
{"name":"r-2","host":"xapu221","path_prefix":"/","route_type":"bounded_staleness","timeout_ms":2000,"target_latency_ms":600,"priority":2,"service":"cuno82a","max_attempts":2,"max_staleness_ms":1500}],
"services":[{"name":"cuno82a","health_check_path":"/health","max_connections":16,"protocol":"h1","tls":false,"sync_replicas":1}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"transaction_idle_ms":3000}}"#;

impl World {
    /// Starts everything, and waits until the service is served by two keepers.
    pub fn start(machines: usize, controls: usize, record: Record) -> Outcome<Self> {
        Self::start_in_order(machines, controls, record, [Duration::ZERO; 3])
    }

    /// As [`World::start`], with a delay before each server announces itself.
    pub fn start_in_order(
        machines: usize,
        controls: usize,
        record: Record,
        delays: [Duration; 3],
    ) -> Outcome<Self> {
        let mut system = System::new(machines, controls, &record);
        let controls = system.control_list();
        let place = |at: usize| {
            (SERVERS[at].to_owned(), system.server(at as u8), ZONES[at].to_owned())
        };
        let places: Vec<_> = (0..SERVERS.len()).map(place).collect();
        let groups = platform::Groups::default();
        platform::start(system.platform(), Arc::clone(&groups), record.clone());
        system.start_all();
        let system = Arc::new(Mutex::new(system));
        let accepted = || {
            let put = |to: &_| call(*to, "PUT", "/config", CONFIG).is_ok_and(|(s, _)| s == 200);
            controls.iter().any(put)
        };
        if !wait_until(Duration::from_secs(15), accepted) {
            return unable("the first configuration was not accepted");
        }
        record.line("operator", "version 1 of the configuration is acknowledged");
        let group = Group::start(SERVICE, delays, &places, controls.clone(), record.clone());
        groups.lock().unwrap().push(Arc::clone(&group));
        let world = Self { system, group, record };
        if !wait_until(Duration::from_secs(15), || world.keepers().len() == 2) {
            return unable("the service has no two keepers");
        }
        thread::sleep(Duration::from_millis(500));
        Ok(world)
    }

    /// Machines whose entries hold a lease on the service.
    pub fn keepers(&self) -> Vec<usize> {
        self.system.lock().unwrap().keepers(SERVICE)
    }

    /// Opens a session at the entry of a machine.
    pub fn client(&self, name: &str, machine: usize, database: &str) -> Outcome<Client> {
        let to = self.system.lock().unwrap().frontend(machine);
        let open = || Client::open(name, to, database, &self.record);
        let mut opened = open();
        for _ in 0..50 {
            if opened.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
            opened = open();
        }
        opened.or_else(|error| unable(format!("no session at machine {machine}: {error}")))
    }

    /// Commits one write that succeeds, on a new session; tries again where it is refused.
    pub fn write(&self, name: &str, machine: usize, id: &str) -> Outcome<()> {
        for attempt in 0..20 {
            let mut client = self.client(name, machine, PRIMARY)?;
            if client.succeeds(&format!("{id}.{attempt}"), "WRITE 1a4 xkqpwnzd") {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        unable(format!("write {id} did not succeed"))
    }

    /// Ids of commits that an old primary made after a promotion had taken effect, and that it
    /// answered.
    pub fn stale(&self) -> Vec<String> {
        let state = self.group.state.lock().unwrap();
        let is_stale = |(_, server, at): &&(String, usize, Instant)| {
            let before = state.promotions.iter().rev().find(|promotion| promotion.at < *at);
            before.is_some_and(|promotion| promotion.server != *server)
        };
        state.commits.iter().filter(is_stale).map(|(id, ..)| id.clone()).collect()
    }

    /// Ids of acknowledged commits that the log of a promoted server lacked when it was
    /// promoted, although they were committed before.
    pub fn lost(&self) -> Vec<String> {
        let state = self.group.state.lock().unwrap();
        let mut lost = Vec::new();
        for promotion in &state.promotions {
            let before = state.commits.iter().filter(|(_, _, at)| *at < promotion.at);
            let missing = before.filter(|(id, ..)| !promotion.ids.contains(id));
            lost.extend(missing.map(|(id, ..)| id.clone()));
        }
        lost
    }
}
