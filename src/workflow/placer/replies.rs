//! Replies to calls that wait for a commit.

use super::super::calls::Reply;
use super::call_limits::CallSlot;

/// Receives the reply, or `None` when this host does not lead and the call had no effect.
type ReplyCallback = Box<dyn FnOnce(Option<Reply>) + Send>;

/// Sends the reply to one call. Never blocks, so that any thread can use it while the term is
/// locked. A responder that is dropped without a reply, as at the end of a term, replies that the
/// call may have taken effect.
pub struct CallResponder {
    /// `None` once the reply was sent.
    callback: Option<ReplyCallback>,
    /// Slot among the calls in flight, released with the reply.
    slot: Option<CallSlot>,
}

impl CallResponder {
    /// Creates a responder that passes the reply to a callback, which must neither block nor lock
    /// the term.
    pub fn new(callback: impl FnOnce(Option<Reply>) + Send + 'static) -> Self {
        Self {
            callback: Some(Box::new(callback)),
            slot: None,
        }
    }

    /// Holds a slot among the calls in flight until the reply.
    pub(super) fn with_slot(mut self, slot: CallSlot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Sends the reply.
    pub fn reply(mut self, reply: Reply) {
        self.complete(Some(reply));
    }

    /// Replies that this host does not lead and that the call had no effect.
    pub fn not_leading(mut self) {
        self.complete(None);
    }

    fn complete(&mut self, reply: Option<Reply>) {
        // The slot is released first, since the recipient of the reply may call again immediately.
        self.slot = None;
        if let Some(callback) = self.callback.take() {
            callback(reply);
        }
    }
}

impl Drop for CallResponder {
    fn drop(&mut self) {
        self.complete(Some(Reply::Unconfirmed));
    }
}
