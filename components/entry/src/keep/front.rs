//! Links from fronts: requests go to the shards, and answers are sent by one
//! writer task per link.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use base::prelude::*;
use keeper::{Event, Front};
use link::{Peer, Purpose, Reader, Writer};
use quota::Token;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use wire::data::{Answer, Ask, Closing, End, Outcome, Pong, Reason, Run, answer, ask};

use super::shard::Shard;
use super::{Host, lock};

/// Length of a link's answer queue; a link whose queue is full is closed.
const QUEUE_ANSWERS: usize = 16 << 10;

/// Number of buffered bytes at which a writer flushes while answers still wait.
const FLUSH_BYTES: usize = 256 << 10;

/// Pause after a failed accept, for example when the process is out of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait in a graceful shutdown for the announcements of the fronts and for
/// the last answers to be sent.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

/// All open links.
#[derive(Debug, Default)]
pub(super) struct Fronts {
    next: AtomicU64,
    links: Mutex<HashMap<Front, Arc<Link>>>,
    closing: AtomicBool,
}

/// An open request of a link.
#[derive(Debug)]
pub(super) struct Open {
    /// Shard that runs the request.
    pub(super) shard: Arc<Shard>,
    /// Team and token, if the request was counted against a limit.
    pub(super) token: Option<(String, Token)>,
}

/// A link from a front.
#[derive(Debug)]
pub(super) struct Link {
    answers: mpsc::Sender<Answer>,
    /// Open requests of the link, by request number.
    requests: Mutex<HashMap<u64, Open>>,
    /// Task that reads from the link; aborting it closes the link.
    task: Mutex<Option<AbortHandle>>,
    /// Whether the front has announced that it sends no more requests, except those of
    /// open transactions.
    shutdown: AtomicBool,
}

impl Link {
    fn is_busy(&self) -> bool {
        let has_answers = self.answers.capacity() < self.answers.max_capacity();
        has_answers || !self.shutdown.load(Ordering::Acquire)
    }

    /// Registers a request that is about to be fed to its shard.
    pub(super) fn open(&self, request: u64, open: Open) {
        lock(&self.requests).insert(request, open);
    }

    /// Queues an answer; closes the link if its queue is full or closed.
    pub(super) fn send(&self, body: answer::Body) {
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
        let link = Arc::new(Link { answers, requests, task, shutdown: AtomicBool::new(false) });
        lock(&self.links).insert(front, Arc::clone(&link));
        if self.closing.load(Ordering::Acquire) {
            link.send(answer::Body::Closing(Closing {}));
        }
        (front, link)
    }

    fn get(&self, front: Front) -> Option<Arc<Link>> {
        lock(&self.links).get(&front).map(Arc::clone)
    }

    /// Whether the link to a front is open.
    pub(super) fn is_open(&self, front: Front) -> bool {
        self.get(front).is_some()
    }

    /// Sends an answer to a front if its link is still open.
    pub(super) fn send(&self, host: &Host, front: Front, body: answer::Body) {
        let Some(link) = self.get(front) else {
            return;
        };
        if let answer::Body::End(end) = &body {
            let open = lock(&link.requests).remove(&end.request);
            if let Some(open) = open {
                host.quotas.end(host, &open, Some(end));
            }
        }
        link.send(body);
    }

    /// Tells each front that the keeper is shutting down.
    pub(super) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        let links: Vec<_> = lock(&self.links).values().map(Arc::clone).collect();
        for link in links {
            link.send(answer::Body::Closing(Closing {}));
        }
    }

    /// Waits until each front has announced that it sends no new requests, so that no
    /// request is lost in transit, and the writers have taken all answers; waits no
    /// longer than [`FINISH_TIMEOUT`].
    pub(super) async fn finish(&self) {
        let is_busy = || lock(&self.links).values().any(|link| link.is_busy());
        let all = async {
            while is_busy() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // the writers have taken the last answers and are about to flush them
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        drop(tokio::time::timeout(FINISH_TIMEOUT, all).await);
    }

    /// Closes all links at once.
    pub(super) fn clear(&self) {
        let links = std::mem::take(&mut *lock(&self.links));
        for link in links.values() {
            if let Some(task) = lock(&link.task).as_ref() {
                task.abort();
            }
        }
    }
}

/// Guard that unregisters a link when dropped, however the link's task ended.
struct LinkGuard {
    host: Arc<Host>,
    front: Front,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        let link = lock(&self.host.fronts.links).remove(&self.front);
        self.host.quotas.disconnect(self.front);
        let open = link.map(|link| std::mem::take(&mut *lock(&link.requests)));
        for open in open.into_iter().flat_map(HashMap::into_values) {
            self.host.quotas.end(&self.host, &open, None);
        }
        for shard in self.host.shards() {
            shard.feed(Event::Disconnected { front: self.front });
        }
    }
}

/// Accepts links until the task is aborted.
pub(super) async fn accept(host: Arc<Host>, listener: TcpListener) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(links.spawn(serve(Arc::clone(&host), stream))),
                Err(error) => {
                    warn!(host.log, "failed to accept a link"; "error" => %error);
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
        Ok(accepted) => accepted,
        Err(report) => {
            debug!(host.log, "link handshake failed"; "error" => format!("{report:?}"));
            return;
        }
    };
    if peer.purpose != Purpose::Data as i32 {
        return;
    }
    let (answers, answer_queue) = mpsc::channel(QUEUE_ANSWERS);
    let (front, link) = host.fronts.add(answers);
    let guard = LinkGuard { host: Arc::clone(&host), front };
    let mut tasks = JoinSet::new();
    let reading = tasks.spawn(read_asks(Arc::clone(&host), front, Arc::clone(&link), reader));
    tasks.spawn(write(writer, answer_queue));
    *lock(&link.task) = Some(reading);
    // the link ends when its reader or its writer ends
    drop(tasks.join_next().await);
    drop(guard);
}

async fn read_asks(host: Arc<Host>, front: Front, link: Arc<Link>, mut reader: Reader) {
    loop {
        match reader.next::<Ask>().await {
            Ok(Some(ask)) => {
                if let Some(body) = ask.body {
                    handle(&host, front, &link, body);
                }
            }
            Ok(None) => return,
            Err(report) => {
                debug!(host.log, "failed to read from a link"; "error" => format!("{report:?}"));
                return;
            }
        }
    }
}

fn handle(host: &Arc<Host>, front: Front, link: &Arc<Link>, body: ask::Body) {
    let shard_of = |request| lock(&link.requests).get(&request).map(|open| Arc::clone(&open.shard));
    match body {
        ask::Body::Run(run) => start(host, front, link, run),
        ask::Body::Credit(credit) => {
            if let Some(shard) = shard_of(credit.request) {
                let (request, bytes) = (credit.request, credit.bytes);
                shard.feed(Event::Credit { front, request, bytes });
            }
        }
        ask::Body::Cancel(cancel) => {
            host.quotas.cancel(host, front, cancel.request);
            if let Some(shard) = shard_of(cancel.request) {
                shard.feed(Event::Cancel { front, request: cancel.request });
            }
        }
        ask::Body::Leave(leave) => {
            host.quotas.leave(front, leave.caller);
            for shard in host.shards() {
                shard.feed(Event::Leave { front, caller: leave.caller });
            }
        }
        ask::Body::Ping(_) => link.send(answer::Body::Pong(Pong {})),
        ask::Body::Borrow(borrow) => {
            link.send(answer::Body::Loan(host.quotas.lend(host, borrow)));
        }
        ask::Body::Shutdown(_) => link.shutdown.store(true, Ordering::Release),
    }
}

fn start(host: &Arc<Host>, front: Front, link: &Arc<Link>, run: Run) {
    let Some(shard) = host.shard(&run.group) else {
        let end = wrong_keeper(run.request);
        host.metrics.end(&end);
        link.send(answer::Body::End(end));
        return;
    };
    // a transaction is counted once, by its first statement
    if !run.team.is_empty() && !run.in_transaction {
        host.quotas.admit(host, (front, link), &shard, run);
        return;
    }
    link.open(run.request, Open { shard: Arc::clone(&shard), token: None });
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
        let mut written = writer.put(&answer);
        while written.is_ok()
            && writer.pending() < FLUSH_BYTES
            && let Ok(answer) = answers.try_recv()
        {
            written = writer.put(&answer);
        }
        if written.is_err() || writer.flush().await.is_err() {
            return;
        }
    }
}
