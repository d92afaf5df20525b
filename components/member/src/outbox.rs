//! The send queue of an entry's link, bounded in messages and in bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use ::link::Frame;
use tokio::sync::mpsc;

/// Length of the queue in messages.
const QUEUE_MESSAGES: usize = 512;

/// Length of the queue in bytes from which on an entry gets no updates until it has read
/// some; changes that concern it are then sent as one update. Short, so that also an entry on
/// a slow link gets the newest state within a heartbeat. Half of [`QUEUE_MESSAGES`] has the
/// same effect.
pub const PAUSE_BYTES: usize = 32 << 10;

/// Length of the queue in bytes beyond which no message is queued. An image, whose memory
/// all queues share, may exceed it.
pub const MAX_BYTES: usize = 256 << 10;

/// Sending end of the queue.
#[derive(Clone, Debug)]
pub struct Outbox {
    sender: mpsc::Sender<Frame>,
    bytes: Arc<AtomicUsize>,
}

/// Receiving end of the queue, at the task that writes to the link.
#[derive(Debug)]
pub struct Due {
    receiver: mpsc::Receiver<Frame>,
    bytes: Arc<AtomicUsize>,
}

/// Error: the queue is full or closed, so the link must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Creates a queue.
pub fn queue() -> (Outbox, Due) {
    let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
    let bytes = Arc::new(AtomicUsize::new(0));
    (Outbox { sender, bytes: Arc::clone(&bytes) }, Due { receiver, bytes })
}

impl Outbox {
    /// Number of bytes that were queued and not written yet.
    pub fn queued(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }

    /// Whether the entry is to get no updates until it has read some.
    pub fn is_paused(&self) -> bool {
        self.queued() >= PAUSE_BYTES || self.sender.capacity() <= QUEUE_MESSAGES / 2
    }

    /// Queues a message.
    ///
    /// # Errors
    /// [`Full`].
    pub fn send(&self, frame: &Frame) -> Result<(), Full> {
        self.send_all(std::slice::from_ref(frame))
    }

    /// Queues messages that belong together, such as the pieces of an image. The limit in
    /// bytes applies to what is queued before them, so that an image of any size can be
    /// sent.
    ///
    /// # Errors
    /// [`Full`].
    pub fn send_all(&self, frames: &[Frame]) -> Result<(), Full> {
        if self.queued() >= MAX_BYTES {
            return Err(Full);
        }
        for frame in frames {
            self.bytes.fetch_add(frame.len(), Ordering::AcqRel);
            self.sender.try_send(frame.clone()).map_err(|_full| Full)?;
        }
        Ok(())
    }
}

impl Due {
    /// Waits for messages and moves up to `limit` of them to `burst`; returns zero once the
    /// sending end is gone.
    pub async fn receive(&mut self, burst: &mut Vec<Frame>, limit: usize) -> usize {
        self.receiver.recv_many(burst, limit).await
    }

    /// Records that messages were written.
    pub fn written(&self, frames: &[Frame]) {
        let bytes = frames.iter().map(Frame::len).sum();
        self.bytes.fetch_sub(bytes, Ordering::AcqRel);
    }
}
