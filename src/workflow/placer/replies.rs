//! Replies to calls that wait for a commit.

use super::super::calls::Reply;
use super::call_limits::CallPlace;

/// Given the reply; `None` when this host does not lead, and the call had no effect.
type GiveReply = Box<dyn FnOnce(Option<Reply>) + Send>;

/// Takes the reply to one call without blocking, on any thread and with the term locked. Dropped
/// without one, as at the end of a term, it replies that the call may have taken effect.
pub struct CallResponder {
    /// `None` once the reply was given.
    give: Option<GiveReply>,
    /// Place among the calls in flight, held until the reply.
    place: Option<CallPlace>,
}

impl CallResponder {
    /// A responder that hands the reply to the closure, which must neither block nor lock the
    /// term.
    pub fn new(give: impl FnOnce(Option<Reply>) + Send + 'static) -> Self {
        Self {
            give: Some(Box::new(give)),
            place: None,
        }
    }

    /// Holds a place among the calls in flight until the reply.
    pub(super) fn holding(mut self, place: CallPlace) -> Self {
        self.place = Some(place);
        self
    }

    /// Gives the reply.
    pub fn reply(mut self, reply: Reply) {
        self.give(Some(reply));
    }

    /// Tells that this host does not lead, and that the call had no effect.
    pub fn not_leading(mut self) {
        self.give(None);
    }

    fn give(&mut self, reply: Option<Reply>) {
        // Whoever has the reply may call again at once.
        self.place = None;
        if let Some(give) = self.give.take() {
            give(reply);
        }
    }
}

impl Drop for CallResponder {
    fn drop(&mut self) {
        self.give(Some(Reply::Unconfirmed));
    }
}
