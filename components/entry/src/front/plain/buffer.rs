//! The whole of an answer, kept until it is over.

use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use wire::Message as _;
use wire::plain::Reply;

use crate::front::conn::Disconnect;
use crate::front::dispatch::Sink;
use crate::front::link::Link;

/// Keeps the whole of an answer.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    parts: BytesMut,
}

impl Buffer {
    /// What the keeper told, once all parts have come.
    pub(super) fn reply(&self) -> Option<Reply> {
        if self.parts.is_empty() {
            return None;
        }
        Reply::decode(self.parts.clone().freeze()).ok()
    }
}

impl Sink for Buffer {
    fn start(&mut self, _link: &Arc<Link>, _number: u64) {
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
