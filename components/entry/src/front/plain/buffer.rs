//! Buffers an answer until it is complete.

use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use wire::Message as _;
use wire::plain::Reply;

use crate::front::conn::Disconnect;
use crate::front::dispatch::Sink;
use crate::front::link::Link;

/// Collects the parts of an answer, and forwards none of them.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    parts: BytesMut,
    /// Link of the current attempt.
    link: Option<Arc<Link>>,
}

impl Buffer {
    /// Link on which the request was last sent; `None` if it was not sent.
    pub(super) fn take_link(&mut self) -> Option<Arc<Link>> {
        self.link.take()
    }

    /// Decodes the answer once all its parts have arrived; `None` if there is none or
    /// it is invalid.
    pub(super) fn reply(&self) -> Option<Reply> {
        if self.parts.is_empty() {
            return None;
        }
        Reply::decode(self.parts.clone().freeze()).ok()
    }
}

impl Sink for Buffer {
    fn start(&mut self, link: &Arc<Link>, _number: u64) {
        self.link = Some(Arc::clone(link));
        self.parts.clear();
    }

    async fn feed(&mut self, part: &Bytes) -> Result<Option<bool>, Report<Disconnect>> {
        self.parts.extend_from_slice(part);
        Ok(Some(false))
    }

    async fn flush(&mut self) -> Result<(), Report<Disconnect>> {
        Ok(())
    }

    fn own_answers(&self) -> usize {
        0
    }
}
