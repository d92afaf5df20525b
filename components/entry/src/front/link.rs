//! A link to a keeper, shared by many callers.
//!
//! A request is marked as sent before its first byte is written, so a request that
//! is not marked when the link breaks was not run. When a keeper announces that it
//! is stopping, the front answers with a shutdown message and from then on sends
//! only requests of open transactions. The keeper closes the link after that.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::clock::Clock;
use base::prelude::*;
use bytes::Bytes;
use link::{Reader, Writer};
use quota::Request as TokenRequest;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;
use wire::data::{
    Answer, Ask, Borrow, Cancel, Credit, End, Loan, Part, Ping, Run, Shutdown, answer, ask,
};

/// Bytes of an answer that a keeper may send before it is granted more credit.
pub const WINDOW_BYTES: u64 = 256 << 10;

/// Capacity of the queue of outgoing messages.
const QUEUE_MESSAGES: usize = 1_024;

/// Size of a batch of messages, in bytes, at which it is written to the link.
const BATCH_BYTES: usize = 256 << 10;

/// Progress of a request.
#[derive(Debug)]
pub enum Event {
    /// A part of the answer arrived.
    Part(Bytes),
    /// The answer ended.
    End(End),
    /// The link broke, or the answer was invalid.
    Broken {
        /// Whether the request may have been sent to the keeper.
        sent: bool,
    },
}

/// Error of a request that was not sent to the keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotSent;

impl fmt::Display for NotSent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request was not sent to the keeper")
    }
}

impl std::error::Error for NotSent {}

/// A request whose answer has not ended.
#[derive(Debug)]
struct Pending {
    events: mpsc::UnboundedSender<Event>,
    /// Number of parts received, which is the expected number of the next part.
    sequence: u64,
    /// Credit left to the keeper, in bytes of the answer.
    credit: u64,
    /// Whether the request may have been sent to the keeper.
    sent: bool,
}

/// Open requests of a link, and the flags that decide whether it accepts new ones.
#[derive(Debug, Default)]
struct Table {
    /// Requests whose answers have not ended, by number.
    open: HashMap<u64, Pending>,
    /// Whether the link is closed, so that no request can be added.
    broken: bool,
    /// Whether the shutdown was sent: only requests of open transactions follow it.
    shutdown: bool,
}

/// Answer of a keeper to requests for tokens.
#[derive(Debug)]
pub struct Lent {
    /// Name of the keeper's entry.
    pub lender: Name,
    /// The requests.
    pub requests: Vec<TokenRequest>,
    /// The answer, with an item for each request.
    pub loan: Loan,
}

/// A link to a keeper.
#[derive(Debug)]
pub struct Link {
    /// Name of the entry that runs the keeper.
    pub name: Name,
    /// Incarnation of that entry.
    pub incarnation: u64,
    clock: Clock,
    asks: mpsc::Sender<Ask>,
    table: Mutex<Table>,
    /// Time at which the keeper last sent a message, or at which a request was opened
    /// while none was open, whichever is later; in microseconds of the clock.
    last_received: AtomicU64,
    next: AtomicU64,
    closing: AtomicBool,
    closing_notify: Notify,
    ended: CancellationToken,
    /// Requests for tokens that the keeper has not answered, oldest first.
    borrowed: Mutex<VecDeque<Vec<TokenRequest>>>,
    /// Receives the loans of the keeper.
    loans: mpsc::Sender<Lent>,
}

impl Link {
    /// Starts the reading and the writing task of an established link. `loans` receives
    /// the keeper's answers to requests for tokens.
    pub fn start(
        name: Name,
        incarnation: u64,
        ends: (Reader, Writer),
        clock: Clock,
        loans: mpsc::Sender<Lent>,
    ) -> Arc<Self> {
        let (asks, queue) = mpsc::channel(QUEUE_MESSAGES);
        let link = Arc::new(Self {
            name,
            incarnation,
            clock,
            asks,
            table: Mutex::default(),
            last_received: AtomicU64::new(0),
            next: AtomicU64::new(1),
            closing: AtomicBool::new(false),
            closing_notify: Notify::new(),
            ended: CancellationToken::new(),
            borrowed: Mutex::default(),
            loans,
        });
        let (reader, writer) = ends;
        tokio::spawn(Arc::clone(&link).read_answers(reader));
        tokio::spawn(Arc::clone(&link).write(writer, queue));
        link
    }

    /// Whether the link is not closed.
    pub fn is_live(&self) -> bool {
        !self.ended.is_cancelled()
    }

    /// Whether the keeper has announced that it is stopping.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Time for which the keeper has sent nothing, not even answers to pings, while
    /// requests are open; zero if none is open.
    pub fn silence(&self, now: Instant) -> Duration {
        if self.table().open.is_empty() { Duration::ZERO } else { self.idle_time(now) }
    }

    /// Sends a ping if the keeper has sent nothing for the given time.
    pub async fn ping(&self, now: Instant, after: Duration) {
        if self.idle_time(now) > after {
            self.send(ask::Body::Ping(Ping {})).await;
        }
    }

    fn idle_time(&self, now: Instant) -> Duration {
        now.since(Instant::from_micros(self.last_received.load(Ordering::Acquire)))
    }

    fn touch(&self) {
        self.last_received.store(self.clock.now().as_micros(), Ordering::Release);
    }

    /// Closes the link and ends its open requests.
    pub fn close(&self) {
        self.ended.cancel();
        let open = {
            let mut table = self.table();
            table.broken = true;
            std::mem::take(&mut table.open)
        };
        for pending in open.into_values() {
            drop(pending.events.send(Event::Broken { sent: pending.sent }));
        }
    }

    /// Sends a request. Its number and window are set by this method.
    ///
    /// # Errors
    /// [`NotSent`] if the link is closed.
    pub async fn run(self: &Arc<Self>, mut run: Run) -> Result<Request, Report<NotSent>> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (events, received) = mpsc::unbounded_channel();
        run.request = number;
        run.window = WINDOW_BYTES;
        self.register(number, events)?;
        let request = Request { number, events: received, link: Arc::clone(self) };
        let ask = Ask { body: Some(ask::Body::Run(run)) };
        // on an error `request` is dropped, and the writing task skips a request that
        // is no longer pending, so this one is not sent
        self.asks.send(ask).await.change_context(NotSent)?;
        Ok(request)
    }

    fn register(
        &self,
        number: u64,
        events: mpsc::UnboundedSender<Event>,
    ) -> Result<(), Report<NotSent>> {
        let mut table = self.table();
        if table.broken {
            return Err(Report::new(NotSent));
        }
        if table.open.is_empty() {
            self.touch();
        }
        let pending = Pending { events, sequence: 0, credit: WINDOW_BYTES, sent: false };
        table.open.insert(number, pending);
        Ok(())
    }

    /// Sends a message that has no answer. Errors are ignored.
    pub async fn send(&self, body: ask::Body) {
        drop(self.asks.send(Ask { body: Some(body) }).await);
    }

    /// Asks the keeper for tokens, or announces a change of shares to it. Errors are
    /// ignored.
    pub async fn borrow(&self, requests: Vec<TokenRequest>, (entry, applied): (String, u64)) {
        let Ok(permit) = self.asks.reserve().await else { return };
        let items = requests.iter().map(Into::into).collect();
        let borrow = Borrow { items, entry, applied };
        // answers come in the order of the requests
        let mut borrowed = self.borrowed.lock().unwrap_or_else(PoisonError::into_inner);
        borrowed.push_back(requests);
        permit.send(Ask { body: Some(ask::Body::Borrow(borrow)) });
    }

    fn on_loan(&self, loan: Loan) {
        let mut borrowed = self.borrowed.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(requests) = borrowed.pop_front() {
            // while the queue is full a loan is dropped, and its tokens are lost
            let lender = self.name.clone();
            drop(self.loans.try_send(Lent { lender, requests, loan }));
        }
    }

    /// Asks the keeper to cancel a request.
    pub async fn cancel(&self, request: u64) {
        self.send(ask::Body::Cancel(Cancel { request })).await;
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write(self: Arc<Self>, mut writer: Writer, mut queue: mpsc::Receiver<Ask>) {
        loop {
            let ask = tokio::select! {
                ask = queue.recv() => ask,
                // the keeper waits for the shutdown, so that no request that was
                // already sent is lost
                () = self.closing_notify.notified() => Some(shutdown()),
                () = self.ended.cancelled() => None,
            };
            let Some(ask) = ask else {
                break;
            };
            self.write_message(&mut writer, &ask);
            while writer.pending() < BATCH_BYTES
                && let Ok(ask) = queue.try_recv()
            {
                self.write_message(&mut writer, &ask);
            }
            if writer.flush().await.is_err() {
                break;
            }
        }
        self.close();
    }

    fn write_message(&self, writer: &mut Writer, ask: &Ask) {
        let mut table = self.table();
        let Some(ask::Body::Run(run)) = &ask.body else {
            table.shutdown |= matches!(ask.body, Some(ask::Body::Shutdown(_)));
            // messages other than Run are never oversized
            drop(writer.put(ask));
            return;
        };
        if table.shutdown && !run.in_transaction {
            if let Some(pending) = table.open.remove(&run.request) {
                drop(pending.events.send(Event::Broken { sent: false }));
            }
            return;
        }
        let Some(pending) = table.open.get_mut(&run.request) else {
            return;
        };
        if writer.put(ask).is_ok() {
            pending.sent = true;
        } else if let Some(pending) = table.open.remove(&run.request) {
            drop(pending.events.send(Event::Broken { sent: false }));
        }
    }

    async fn read_answers(self: Arc<Self>, mut reader: Reader) {
        loop {
            let answer = tokio::select! {
                answer = reader.next::<Answer>() => answer,
                () = self.ended.cancelled() => break,
            };
            match answer {
                Ok(Some(Answer { body: Some(body) })) => self.on_answer(body),
                // a kind of message that this release does not know
                Ok(Some(Answer { body: None })) => {}
                Ok(None) | Err(_) => break,
            }
        }
        self.close();
    }

    fn on_answer(&self, body: answer::Body) {
        self.touch();
        match body {
            answer::Body::Pong(_) => {}
            answer::Body::Loan(loan) => self.on_loan(loan),
            answer::Body::Part(part) => self.on_part(part),
            answer::Body::End(end) => {
                let pending = self.table().open.remove(&end.request);
                let Some(pending) = pending else {
                    return;
                };
                let complete = pending.sequence == end.parts;
                let event = if complete { Event::End(end) } else { Event::Broken { sent: true } };
                drop(pending.events.send(event));
            }
            answer::Body::Closing(_) => {
                self.closing.store(true, Ordering::Release);
                self.closing_notify.notify_one();
            }
        }
    }

    fn on_part(&self, part: Part) {
        let mut table = self.table();
        let Some(pending) = table.open.get_mut(&part.request) else {
            return;
        };
        let bytes = part.payload.len() as u64;
        // one part may exceed the window, since a message is not split
        if pending.sequence == part.sequence && pending.credit > 0 {
            pending.sequence += 1;
            pending.credit = pending.credit.saturating_sub(bytes);
            drop(pending.events.send(Event::Part(part.payload)));
            return;
        }
        if let Some(pending) = table.open.remove(&part.request) {
            drop(pending.events.send(Event::Broken { sent: true }));
        }
    }

    fn add_credit(&self, request: u64, bytes: u64) {
        if let Some(pending) = self.table().open.get_mut(&request) {
            pending.credit += bytes;
        }
    }
}

fn shutdown() -> Ask {
    Ask { body: Some(ask::Body::Shutdown(Shutdown {})) }
}

/// A request that was handed to a link.
#[derive(Debug)]
pub struct Request {
    /// Number of the request, unique on its link.
    pub number: u64,
    events: mpsc::UnboundedReceiver<Event>,
    link: Arc<Link>,
}

impl Request {
    /// Waits for the next event of the request. This method is cancel safe.
    pub async fn next(&mut self) -> Event {
        self.events.recv().await.unwrap_or(Event::Broken { sent: true })
    }

    /// Returns the next event if it is already there.
    pub fn try_next(&mut self) -> Option<Event> {
        self.events.try_recv().ok()
    }

    /// Grants the keeper credit for `bytes` more of the answer.
    pub async fn grant_credit(&self, bytes: u64) {
        self.link.add_credit(self.number, bytes);
        let credit = Credit { request: self.number, bytes };
        self.link.send(ask::Body::Credit(credit)).await;
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        drop(self.link.table().open.remove(&self.number));
    }
}
