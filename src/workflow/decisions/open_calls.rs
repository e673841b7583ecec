//! Keeps start orders and acknowledgements of ends to one worker apart.
//!
//! Load pattern: a worker starts again while calls to it are held on their way, and its next
//! incarnation carries them out before any call of its own. A start order and an acknowledgement
//! together erase finished work there: the run ends, its end is forgotten, and the first list shows
//! neither. An acknowledgement alone erases nothing, and the end of a late run alone is listed. So no
//! acknowledgement is sent while a start order has no answer, and the other way round. A permit changes
//! nothing in this: the policy may have issued it for an incarnation that is not known yet.

use std::time::{Duration, Instant};

use super::super::calls::{OrderAnswer, OrderOutcome};
use super::leases::ClockReading;
use crate::ids::{Epoch, Generation, Incarnation};

/// Whether a later incarnation than the known one may have carried out a start order that was answered.
/// Such answers name no incarnation; `known` is the clock of the known one.
pub fn may_run_elsewhere(known: Option<ClockReading>, answer: &OrderAnswer, now: Instant) -> bool {
    let clocks = known.zip(answer.clock_ms);
    let is_known = clocks.is_some_and(|(known, clock_ms)| known.is_same_clock(clock_ms, now));
    answer.outcome == OrderOutcome::Done && !is_known
}

/// Whether ends may be acknowledged that may be so since a time: the worker has to have answered a call
/// that was sent after it. `confirmed_at` is when the latest call was sent, if that was answered.
pub fn has_answered_since(since: Option<Instant>, confirmed_at: Option<Instant>) -> bool {
    let times = since.zip(confirmed_at);
    times.is_some_and(|(since, sent_at)| since < sent_at)
}

/// What becomes of an acknowledgement that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcknowledgementStep {
    /// It may be sent now.
    Begun,
    /// It waits for the answers to start orders or to another acknowledgement.
    AwaitsAnswers,
    /// The incarnation has to answer a later call first; new start orders wait for both.
    NeedsLaterAnswer,
    /// It may not be sent now.
    Refused,
}

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
    /// Time until which a start order whose answer is no longer awaited may be carried out by a later
    /// incarnation, or at which one was perhaps answered by it. It counts until this incarnation has
    /// answered a call that was sent after that time.
    pub starts_open_until: Option<Instant>,
    /// Whether the answer to an acknowledgement is awaited.
    pub is_acknowledging: bool,
    /// Whether an acknowledgement waits for answers of the worker; new start orders wait for it.
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
        // The permit is for an incarnation that was at work when the order was sent.
        let late = if has_permit {
            Duration::ZERO
        } else {
            late_call_limit
        };
        self.keep_starts_open(now + late);
    }

    /// Notes that a start order was answered by an incarnation that is not certainly this one: a later
    /// one may run the task. Such answers name no incarnation.
    pub fn note_unknown_answer(&mut self, now: Instant) {
        self.keep_starts_open(now);
    }

    fn keep_starts_open(&mut self, until: Instant) {
        self.starts_open_until = self.starts_open_until.max(Some(until));
    }

    /// Begins an acknowledgement if it may be sent. Otherwise it waits until the deadline, and start
    /// orders wait for it: each of them could need another answer.
    pub fn begin_acknowledgement(
        &mut self,
        now: Instant,
        deadline: Instant,
    ) -> AcknowledgementStep {
        let step = if self.may_acknowledge() {
            AcknowledgementStep::Begun
        } else if self.is_start_late(now) || now >= deadline {
            AcknowledgementStep::Refused
        } else if self.is_idle() {
            AcknowledgementStep::NeedsLaterAnswer
        } else {
            AcknowledgementStep::AwaitsAnswers
        };
        self.is_acknowledging |= step == AcknowledgementStep::Begun;
        self.acknowledgement_waits = matches!(
            step,
            AcknowledgementStep::AwaitsAnswers | AcknowledgementStep::NeedsLaterAnswer
        );
        step
    }

    /// Whether an acknowledgement may be sent. Only one is on its way: `is_acknowledging` could not
    /// tell which of two has been answered.
    pub fn may_acknowledge(&self) -> bool {
        self.is_idle() && self.starts_open_until.is_none()
    }

    /// Whether no answer is awaited.
    fn is_idle(&self) -> bool {
        self.starts == 0 && !self.is_acknowledging
    }

    /// Whether a start order was given up that a later incarnation may still carry out.
    fn is_start_late(&self, now: Instant) -> bool {
        self.starts_open_until.is_some_and(|until| now < until)
    }

    /// Notes that the incarnation has answered a call that was sent at a time, and returns whether this
    /// shows that no later one carries out or has carried out the start orders before.
    pub fn note_answer(&mut self, sent_at: Instant) -> bool {
        let is_later = |until: &mut Instant| *until < sent_at;
        self.starts_open_until.take_if(is_later).is_some()
    }

    /// Whether nothing has to be remembered of a worker that is not served: if it is served again, it
    /// answers a later call before all else.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.is_idle() && !self.is_start_late(now) && self.unanswered_acknowledgement.is_none()
    }
}
