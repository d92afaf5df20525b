//! Links of fronts: what they ask goes to the shards, what they get goes out
//! by one writer for each link.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use base::prelude::*;
use keeper::{Event, Front};
use link::{Peer, Purpose, Reader, Writer};
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use wire::data::{Answer, Ask, Closing, End, Outcome, Pong, Reason, Run, answer, ask};

use super::shard::Shard;
use super::{Host, lock};

/// Answers that may wait for a link's writer; a front that takes none is dropped.
const ANSWERS: usize = 16 << 10;

/// Bytes that are written at once.
const FLUSH_BYTES: usize = 256 << 10;

/// Pause after a failed accept, as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for the last answers of a planned stop.
const FINISH: Duration = Duration::from_secs(2);

/// All links that stand.
#[derive(Debug, Default)]
pub(super) struct Fronts {
    next: AtomicU64,
    links: Mutex<HashMap<Front, Arc<Link>>>,
    closing: AtomicBool,
}

/// One link of a front.
#[derive(Debug)]
pub(super) struct Link {
    answers: mpsc::Sender<Answer>,
    /// Where the open requests of the link run.
    requests: Mutex<HashMap<u64, Arc<Shard>>>,
    task: Mutex<Option<AbortHandle>>,
    /// Whether the front asks for nothing new.
    farewell: AtomicBool,
}

impl Link {
    fn is_busy(&self) -> bool {
        let waiting = self.answers.capacity() < self.answers.max_capacity();
        waiting || !self.farewell.load(Ordering::Acquire)
    }

    fn send(&self, body: answer::Body) {
        if self.answers.try_send(Answer { body: Some(body) }).is_ok() {
            return;
        }
        if let Some(task) = lock(&self.task).as_ref() {
            task.abort();
        }
    }
}

impl Fronts {
    fn add(&self, answers: mpsc::Sender<Answer>) -> (Front, Arc<Link>) {
        let front = Front(self.next.fetch_add(1, Ordering::Relaxed));
        let (requests, task) = (Mutex::default(), Mutex::default());
        let link = Arc::new(Link { answers, requests, task, farewell: AtomicBool::new(false) });
        lock(&self.links).insert(front, Arc::clone(&link));
        if self.closing.load(Ordering::Acquire) {
            link.send(answer::Body::Closing(Closing {}));
        }
        (front, link)
    }

    fn get(&self, front: Front) -> Option<Arc<Link>> {
        lock(&self.links).get(&front).map(Arc::clone)
    }

    /// Sends a part to a front, if its link still stands.
    pub(super) fn send(&self, front: Front, body: answer::Body) {
        let Some(link) = self.get(front) else {
            return;
        };
        if let answer::Body::End(end) = &body {
            lock(&link.requests).remove(&end.request);
        }
        link.send(body);
    }

    /// Tells each front that the keeper is stopping.
    pub(super) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        let links: Vec<_> = lock(&self.links).values().map(Arc::clone).collect();
        for link in links {
            link.send(answer::Body::Closing(Closing {}));
        }
    }

    /// Waits until each front asks for nothing new, so that no request is lost
    /// on its way, and the writers have taken all answers.
    pub(super) async fn finish(&self) {
        let waits = || lock(&self.links).values().any(|link| link.is_busy());
        let all = async {
            while waits() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // the last answers are with the writer, which flushes them next
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        drop(tokio::time::timeout(FINISH, all).await);
    }

    pub(super) fn clear(&self) {
        let links = std::mem::take(&mut *lock(&self.links));
        for link in links.values() {
            if let Some(task) = lock(&link.task).as_ref() {
                task.abort();
            }
        }
    }
}

/// Forgets a link, however its task ended.
struct Standing {
    host: Arc<Host>,
    front: Front,
}

impl Drop for Standing {
    fn drop(&mut self) {
        lock(&self.host.fronts.links).remove(&self.front);
        for shard in self.host.shards() {
            shard.feed(Event::Gone { front: self.front });
        }
    }
}

/// Takes links until the task is ended.
pub(super) async fn accept(host: Arc<Host>, listener: TcpListener) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(links.spawn(serve(Arc::clone(&host), stream))),
                Err(error) => {
                    warn!(host.log, "accept failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = links.join_next() => {}
        }
    }
}

async fn serve(host: Arc<Host>, stream: TcpStream) {
    let own = Peer::new(host.name.as_str(), host.incarnation, Purpose::Data);
    let (peer, reader, writer) = match link::accept(stream, &own, &host.key).await {
        Ok(proved) => proved,
        Err(report) => {
            debug!(host.log, "link refused"; "error" => format!("{report:?}"));
            return;
        }
    };
    if peer.purpose != Purpose::Data as i32 {
        return;
    }
    let (answers, taken) = mpsc::channel(ANSWERS);
    let (front, link) = host.fronts.add(answers);
    let standing = Standing { host: Arc::clone(&host), front };
    let mut tasks = JoinSet::new();
    let reading = tasks.spawn(read(Arc::clone(&host), front, Arc::clone(&link), reader));
    tasks.spawn(write(writer, taken));
    *lock(&link.task) = Some(reading);
    // the first half to end ends the link
    drop(tasks.join_next().await);
    drop(standing);
}

async fn read(host: Arc<Host>, front: Front, link: Arc<Link>, mut reader: Reader) {
    loop {
        match reader.next::<Ask>().await {
            Ok(Some(ask)) => {
                if let Some(body) = ask.body {
                    take(&host, front, &link, body);
                }
            }
            Ok(None) => return,
            Err(report) => {
                debug!(host.log, "link of a front failed"; "error" => format!("{report:?}"));
                return;
            }
        }
    }
}

fn take(host: &Arc<Host>, front: Front, link: &Arc<Link>, body: ask::Body) {
    let running = |request| lock(&link.requests).get(&request).map(Arc::clone);
    match body {
        ask::Body::Run(run) => start(host, front, link, run),
        ask::Body::Credit(credit) => {
            if let Some(shard) = running(credit.request) {
                let (request, bytes) = (credit.request, credit.bytes);
                shard.feed(Event::Credit { front, request, bytes });
            }
        }
        ask::Body::Cancel(cancel) => {
            if let Some(shard) = running(cancel.request) {
                shard.feed(Event::Cancel { front, request: cancel.request });
            }
        }
        ask::Body::Leave(leave) => {
            for shard in host.shards() {
                shard.feed(Event::Leave { front, caller: leave.caller });
            }
        }
        ask::Body::Ping(_) => link.send(answer::Body::Pong(Pong {})),
        ask::Body::Farewell(_) => link.farewell.store(true, Ordering::Release),
    }
}

fn start(host: &Arc<Host>, front: Front, link: &Arc<Link>, run: Run) {
    let Some(shard) = host.shard(&run.group) else {
        let end = wrong_keeper(run.request);
        host.metrics.end(&end);
        link.send(answer::Body::End(end));
        return;
    };
    lock(&link.requests).insert(run.request, Arc::clone(&shard));
    shard.feed(Event::Run { front, run });
}

fn wrong_keeper(request: u64) -> End {
    End {
        request,
        outcome: Outcome::NotRun as i32,
        reason: Reason::WrongKeeper as i32,
        status: u32::from(b'I'),
        ..End::default()
    }
}

async fn write(mut writer: Writer, mut answers: mpsc::Receiver<Answer>) {
    while let Some(answer) = answers.recv().await {
        let mut put = writer.put(&answer);
        while put.is_ok()
            && writer.pending() < FLUSH_BYTES
            && let Ok(answer) = answers.try_recv()
        {
            put = writer.put(&answer);
        }
        if put.is_err() || writer.flush().await.is_err() {
            return;
        }
    }
}
