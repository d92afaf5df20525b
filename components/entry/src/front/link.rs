//! One link to a keeper, shared by many callers.
//!
//! A request is marked as having left before its first byte is written, so a
//! request that is not marked when the link breaks was not run. When a keeper
//! says that it is stopping, the front says farewell and from then on sends it
//! only what belongs to open transactions; the keeper ends the link after that.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::clock::Clock;
use base::prelude::*;
use bytes::Bytes;
use link::{Reader, Writer};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;
use wire::data::{Answer, Ask, Cancel, Credit, End, Farewell, Part, Ping, Run, answer, ask};

/// Bytes of an answer that a keeper may send before it is given credit.
pub const WINDOW_BYTES: u64 = 256 << 10;

/// Messages that may wait for the link.
const QUEUE: usize = 1_024;

/// Time without a word of a keeper after which it is asked whether it lives.
const PING_AFTER: Duration = Duration::from_millis(150);

/// Time without a word after which a keeper is taken for frozen or cut off.
const SILENCE: Duration = Duration::from_millis(400);

/// Bytes that are written to the link at once.
const BATCH_BYTES: usize = 256 << 10;

/// What becomes of a request.
#[derive(Debug)]
pub enum Event {
    /// A part of its answer came.
    Part(Bytes),
    /// It ended.
    End(End),
    /// The link broke, or the answer did.
    Broken {
        /// Whether the request may have reached the keeper.
        sent: bool,
    },
}

/// The request never left this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotSent;

impl fmt::Display for NotSent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request never left this process")
    }
}

impl std::error::Error for NotSent {}

#[derive(Debug)]
struct Route {
    events: mpsc::UnboundedSender<Event>,
    sequence: u64,
    /// Bytes that the keeper may still send.
    allowed: u64,
    sent: bool,
}

#[derive(Debug, Default)]
struct Routes {
    open: HashMap<u64, Route>,
    broken: bool,
    /// Whether farewell was said: only open transactions go on.
    farewell: bool,
}

/// One link to a keeper.
#[derive(Debug)]
pub struct Link {
    /// Name of the keeper's entry.
    pub name: Name,
    /// Incarnation of that entry.
    pub incarnation: u64,
    clock: Clock,
    asks: mpsc::Sender<Ask>,
    routes: Mutex<Routes>,
    /// When something came last, or the first open request was sent, in
    /// microseconds of the clock.
    heard: AtomicU64,
    next: AtomicU64,
    closing: AtomicBool,
    closes: Notify,
    ended: CancellationToken,
}

impl Link {
    /// Starts the tasks of a link that was dialled.
    pub fn start(name: Name, incarnation: u64, ends: (Reader, Writer), clock: Clock) -> Arc<Self> {
        let (asks, queue) = mpsc::channel(QUEUE);
        let link = Arc::new(Self {
            name,
            incarnation,
            clock,
            asks,
            routes: Mutex::default(),
            heard: AtomicU64::new(0),
            next: AtomicU64::new(1),
            closing: AtomicBool::new(false),
            closes: Notify::new(),
            ended: CancellationToken::new(),
        });
        let (reader, writer) = ends;
        tokio::spawn(Arc::clone(&link).read(reader));
        tokio::spawn(Arc::clone(&link).write(writer, queue));
        link
    }

    /// Whether the link carries requests.
    pub fn is_live(&self) -> bool {
        !self.ended.is_cancelled()
    }

    /// Whether the keeper said that it is stopping.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Whether the keeper has left requests, and pings, without an answer.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        !self.routes().open.is_empty() && self.quiet(now) > SILENCE
    }

    /// Asks whether the keeper lives, if nothing came of it for a while.
    pub async fn ping(&self, now: Instant) {
        if self.quiet(now) > PING_AFTER {
            self.send(ask::Body::Ping(Ping {})).await;
        }
    }

    fn quiet(&self, now: Instant) -> Duration {
        now.since(Instant::from_micros(self.heard.load(Ordering::Acquire)))
    }

    fn hear(&self) {
        self.heard.store(self.clock.now().as_micros(), Ordering::Release);
    }

    /// Breaks the link.
    pub fn close(&self) {
        self.ended.cancel();
        let open = {
            let mut routes = self.routes();
            routes.broken = true;
            std::mem::take(&mut routes.open)
        };
        for route in open.into_values() {
            drop(route.events.send(Event::Broken { sent: route.sent }));
        }
    }

    /// Sends a request; its number is set here.
    ///
    /// # Errors
    /// [`NotSent`] when the link is down.
    pub async fn run(self: &Arc<Self>, mut run: Run) -> Result<Request, Report<NotSent>> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (events, received) = mpsc::unbounded_channel();
        run.request = number;
        run.window = WINDOW_BYTES;
        self.open(number, events)?;
        let request = Request { number, events: received, link: Arc::clone(self) };
        let ask = Ask { body: Some(ask::Body::Run(run)) };
        // a request whose route is gone is not written, so this one never left
        self.asks.send(ask).await.change_context(NotSent)?;
        Ok(request)
    }

    fn open(
        &self,
        number: u64,
        events: mpsc::UnboundedSender<Event>,
    ) -> Result<(), Report<NotSent>> {
        let mut routes = self.routes();
        if routes.broken {
            return Err(Report::new(NotSent));
        }
        if routes.open.is_empty() {
            self.hear();
        }
        let route = Route { events, sequence: 0, allowed: WINDOW_BYTES, sent: false };
        routes.open.insert(number, route);
        Ok(())
    }

    /// Sends what needs no answer.
    pub async fn send(&self, body: ask::Body) {
        drop(self.asks.send(Ask { body: Some(body) }).await);
    }

    /// Asks the keeper to cancel a request.
    pub async fn cancel(&self, request: u64) {
        self.send(ask::Body::Cancel(Cancel { request })).await;
    }

    fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write(self: Arc<Self>, mut writer: Writer, mut queue: mpsc::Receiver<Ask>) {
        loop {
            let ask = tokio::select! {
                ask = queue.recv() => ask,
                // the keeper waits for this, so that no request is lost on the way
                () = self.closes.notified() => Some(farewell()),
                () = self.ended.cancelled() => None,
            };
            let Some(ask) = ask else {
                break;
            };
            self.put(&mut writer, &ask);
            while writer.pending() < BATCH_BYTES
                && let Ok(ask) = queue.try_recv()
            {
                self.put(&mut writer, &ask);
            }
            if writer.flush().await.is_err() {
                break;
            }
        }
        self.close();
    }

    fn put(&self, writer: &mut Writer, ask: &Ask) {
        let mut routes = self.routes();
        let Some(ask::Body::Run(run)) = &ask.body else {
            routes.farewell |= matches!(ask.body, Some(ask::Body::Farewell(_)));
            // an oversized message of this kind does not exist
            drop(writer.put(ask));
            return;
        };
        if routes.farewell && !run.within {
            if let Some(route) = routes.open.remove(&run.request) {
                drop(route.events.send(Event::Broken { sent: false }));
            }
            return;
        }
        let Some(route) = routes.open.get_mut(&run.request) else {
            return;
        };
        if writer.put(ask).is_ok() {
            route.sent = true;
        } else if let Some(route) = routes.open.remove(&run.request) {
            drop(route.events.send(Event::Broken { sent: false }));
        }
    }

    async fn read(self: Arc<Self>, mut reader: Reader) {
        loop {
            let answer = tokio::select! {
                answer = reader.next::<Answer>() => answer,
                () = self.ended.cancelled() => break,
            };
            match answer {
                Ok(Some(Answer { body: Some(body) })) => self.dispatch(body),
                // a kind that this release does not know
                Ok(Some(Answer { body: None })) => {}
                Ok(None) | Err(_) => break,
            }
        }
        self.close();
    }

    fn dispatch(&self, body: answer::Body) {
        self.hear();
        match body {
            answer::Body::Pong(_) => {}
            answer::Body::Part(part) => self.part(part),
            answer::Body::End(end) => {
                let route = self.routes().open.remove(&end.request);
                let Some(route) = route else {
                    return;
                };
                let whole = route.sequence == end.parts;
                let event = if whole { Event::End(end) } else { Event::Broken { sent: true } };
                drop(route.events.send(event));
            }
            answer::Body::Closing(_) => {
                self.closing.store(true, Ordering::Release);
                self.closes.notify_one();
            }
        }
    }

    fn part(&self, part: Part) {
        let mut routes = self.routes();
        let Some(route) = routes.open.get_mut(&part.request) else {
            return;
        };
        let bytes = part.payload.len() as u64;
        // one part may pass the window, since a message is not cut
        if route.sequence == part.sequence && route.allowed > 0 {
            route.sequence += 1;
            route.allowed = route.allowed.saturating_sub(bytes);
            drop(route.events.send(Event::Part(part.payload)));
            return;
        }
        if let Some(route) = routes.open.remove(&part.request) {
            drop(route.events.send(Event::Broken { sent: true }));
        }
    }

    fn allow(&self, request: u64, bytes: u64) {
        if let Some(route) = self.routes().open.get_mut(&request) {
            route.allowed += bytes;
        }
    }
}

fn farewell() -> Ask {
    Ask { body: Some(ask::Body::Farewell(Farewell {})) }
}

/// A request on its way.
#[derive(Debug)]
pub struct Request {
    /// Its number on the link.
    pub number: u64,
    events: mpsc::UnboundedReceiver<Event>,
    link: Arc<Link>,
}

impl Request {
    /// What becomes of it next. Safe to drop while it waits.
    pub async fn next(&mut self) -> Event {
        self.events.recv().await.unwrap_or(Event::Broken { sent: true })
    }

    /// What is known of it without waiting.
    pub fn try_next(&mut self) -> Option<Event> {
        self.events.try_recv().ok()
    }

    /// Allows the keeper to send more.
    pub async fn credit(&self, bytes: u64) {
        self.link.allow(self.number, bytes);
        let credit = Credit { request: self.number, bytes };
        self.link.send(ask::Body::Credit(credit)).await;
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        drop(self.link.routes().open.remove(&self.number));
    }
}
