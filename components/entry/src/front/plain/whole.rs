//! The whole of an answer, kept until it is over.

use std::sync::Arc;

use base::prelude::*;
use bytes::{Bytes, BytesMut};
use wire::Message as _;
use wire::plain::Reply;

use crate::front::conn::Gone;
use crate::front::errand::Sink;
use crate::front::link::Link;

/// Keeps the whole of an answer.
#[derive(Debug, Default)]
pub(super) struct Whole {
    parts: BytesMut,
}

impl Whole {
    /// What the keeper told, once all parts have come.
    pub(super) fn reply(&self) -> Option<Reply> {
        if self.parts.is_empty() {
            return None;
        }
        Reply::decode(self.parts.clone().freeze()).ok()
    }
}

impl Sink for Whole {
    fn start(&mut self, _link: &Arc<Link>, _number: u64) {
        self.parts.clear();
    }

    async fn feed(&mut self, part: &Bytes) -> Result<Option<bool>, Report<Gone>> {
        self.parts.extend_from_slice(part);
        Ok(Some(false))
    }

    async fn flush(&mut self) -> Result<(), Report<Gone>> {
        Ok(())
    }

    fn own(&self) -> usize {
        0
    }
}
