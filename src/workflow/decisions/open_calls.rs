//! Keeps start orders and acknowledgements of ends to one worker apart.
//!
//! Load pattern: a worker starts again while calls to it are held on their way, and its next
//! incarnation carries them out before any call of its own. A start order and an acknowledgement
//! together erase finished work there: the run ends, its end is forgotten, and the first list shows
//! neither. An acknowledgement alone erases nothing, and the end of a late run alone is listed. So no
//! acknowledgement is sent while a start order has no answer, and the other way round. A permit changes
//! nothing in this: the policy may have issued it for an incarnation that is not known yet.

use std::time::{Duration, Instant};

use crate::ids::{Epoch, Generation, Incarnation};

/// What the fencing token of a call is made of. A worker that has seen a token carries out no call
/// with a lower one.
pub type CallToken = (Epoch, Generation);

/// Calls of one relay to one incarnation of a worker that may be carried out late.
///
/// Invariant: `starts` is zero while `is_acknowledging`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OpenCalls {
    /// Incarnation that the calls are meant for.
    pub incarnation: Incarnation,
    /// Highest token of the calls.
    pub token: CallToken,
    /// Whether a start order was to be sent; never reset.
    pub takes_starts: bool,
    /// Start orders whose answer is awaited.
    pub starts: usize,
    /// Time until which a start order whose answer is no longer awaited may be carried out.
    pub starts_open_until: Option<Instant>,
    /// Time at which a start order with a permit was given up, unless the incarnation has answered a
    /// later call.
    pub permitted_start_open_since: Option<Instant>,
    /// Whether the answer to an acknowledgement is awaited.
    pub is_acknowledging: bool,
    /// Whether an acknowledgement waits for the answers to start orders; new ones wait for it.
    pub acknowledgement_waits: bool,
    /// Highest token of an acknowledgement whose answer is no longer awaited. It has no effect on an
    /// incarnation that has carried out a start order with a higher token.
    pub unanswered_acknowledgement: Option<CallToken>,
}

impl OpenCalls {
    /// Prepares for a call to an incarnation, and returns whether it is not obsolete, as it is once a later
    /// one is known. Calls to a former incarnation are dropped: the first answer of the next one comes from
    /// a call with a higher token than all of them.
    pub fn begin_call(&mut self, incarnation: Incarnation, token: CallToken) -> bool {
        if self.incarnation != incarnation {
            if token < self.token {
                return false;
            }
            *self = Self {
                incarnation,
                takes_starts: self.takes_starts,
                ..Self::default()
            };
        }
        self.token = self.token.max(token);
        true
    }

    /// Whether a start order may be sent.
    pub fn may_start(&self, token: CallToken) -> bool {
        let waits = self.is_acknowledging || self.acknowledgement_waits;
        !waits && !self.needs_higher_token(token)
    }

    /// Whether start orders need a higher token than this one.
    pub fn needs_higher_token(&self, token: CallToken) -> bool {
        let unanswered = self.unanswered_acknowledgement;
        self.takes_starts && unanswered.is_some_and(|unanswered| unanswered >= token)
    }

    /// Notes that a start order was given up that the worker may carry out late.
    pub fn note_unanswered_start(
        &mut self,
        has_permit: bool,
        now: Instant,
        late_call_limit: Duration,
    ) {
        if has_permit {
            self.permitted_start_open_since = Some(now);
        } else {
            self.starts_open_until = Some(now + late_call_limit);
        }
    }

    /// Begins an acknowledgement if it may be sent, and returns whether it may. Otherwise it waits for the
    /// answers to start orders, if these are awaited, until the deadline.
    pub fn begin_acknowledgement(&mut self, now: Instant, deadline: Instant) -> bool {
        let may_acknowledge = self.may_acknowledge(now);
        self.is_acknowledging |= may_acknowledge;
        self.acknowledgement_waits = !may_acknowledge && !self.is_start_open(now) && now < deadline;
        may_acknowledge
    }

    /// Whether an acknowledgement may be sent. Only one is on its way: `is_acknowledging` could not
    /// tell which of two has been answered.
    pub fn may_acknowledge(&self, now: Instant) -> bool {
        self.starts == 0 && !self.is_acknowledging && !self.is_start_open(now)
    }

    /// Whether a start order whose answer is no longer awaited may be carried out.
    pub fn is_start_open(&self, now: Instant) -> bool {
        self.permitted_start_open_since.is_some()
            || self.starts_open_until.is_some_and(|until| now < until)
    }

    /// Notes that the incarnation has answered a call that was sent at a time, and returns whether this
    /// shows that an order with a permit can no longer be carried out by a later one.
    pub fn note_answer(&mut self, sent_at: Instant) -> bool {
        let is_later = |since: &mut Instant| *since < sent_at;
        self.permitted_start_open_since.take_if(is_later).is_some()
    }

    /// Whether nothing has to be remembered.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.may_acknowledge(now) && self.unanswered_acknowledgement.is_none()
    }
}
