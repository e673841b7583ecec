//! Renews the lease of one worker and reads its lists on behalf of the placer.

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::super::calls::{CallFailure, RenewOrder, WorkerReport, WorkerTarget};
use super::super::decisions::leases::ClockReading;
use super::super::decisions::open_calls::has_answered_since;
use super::messages::{Grant, RelayEventKind};
use super::open_calls::BegunAcknowledgement;
use super::{Link, Relay};
use crate::ids::Epoch;

/// Longest time that a worker may delay its answer to a renewal while no run ends.
pub(in crate::workflow) const RENEWAL_WAIT: Duration = Duration::from_millis(1_000);
/// Time for an answer beyond that delay: a round trip between regions and the processing delay of
/// the worker.
pub(in crate::workflow) const RENEWAL_GRACE: Duration = Duration::from_millis(600);
/// Pause after a renewal without an answer.
pub(in crate::workflow) const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for the acknowledgement of ends before the lease is renewed without it: a report, a
/// commit among three regions and the next grant, with one of these lost.
pub(in crate::workflow) const RECORD_WAIT: Duration = Duration::from_millis(700);
/// Pause before a renewal while ends cannot be acknowledged: the worker answers it at once.
pub(in crate::workflow) const UNACKNOWLEDGED_PAUSE: Duration = Duration::from_millis(200);
/// Interval in which the list of running runs is reported to the placer; ends are reported at once.
pub(in crate::workflow) const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a new grant after which the link ends: three intervals of the placer's grants.
pub(in crate::workflow) const GRANT_LIFETIME: Duration = Duration::from_millis(3_000);

/// Time for which an answer shows that the worker has not restarted since: a renewal that the worker
/// delays as long as it may, with the grace for its answer.
pub(in crate::workflow) const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_700);

/// Latest grant of the placer, and whether the link has ended.
pub(super) struct GrantState {
    lease_until_clock_ms: Option<u64>,
    /// Ends up to this number are recorded; never decreases.
    recorded_ends: u64,
    /// Ends up to this number were acknowledged, and the worker has answered; never decreases.
    acknowledged_ends: u64,
    /// Time since which ends may be acknowledged: once the worker has answered a call that was sent
    /// after it. Until then, a start order of another relay could be carried out.
    acknowledges_since: Option<Instant>,
    granted_at_ms: u64,
    expires_at: Instant,
    /// Time until which the incarnation of the grants counts as present; `None` while its latest
    /// renewal has no answer.
    confirmed_until: Option<Instant>,
    /// Clock of the incarnation of the grants by its latest list.
    clock: Option<ClockReading>,
    ended: bool,
}

impl GrantState {
    fn is_confirmed(&self, now: Instant) -> bool {
        !self.ended && self.confirmed_until.is_some_and(|until| now < until)
    }
}

impl Link {
    pub(super) fn new(epoch: Epoch, grant: Grant, now: Instant) -> Self {
        Self {
            epoch,
            target: grant.target,
            state: Mutex::new(GrantState {
                lease_until_clock_ms: grant.lease_until_clock_ms,
                recorded_ends: grant.recorded_ends,
                acknowledged_ends: 0,
                acknowledges_since: grant.may_acknowledge.then_some(now),
                granted_at_ms: grant.granted_at_ms,
                expires_at: now + GRANT_LIFETIME,
                confirmed_until: None,
                clock: None,
                ended: false,
            }),
            changed: Condvar::new(),
        }
    }

    /// Whether the link serves this incarnation of the worker.
    pub(super) fn serves(&self, target: &WorkerTarget) -> bool {
        self.target == *target
    }

    /// Applies a newer grant and returns whether the link has not ended.
    pub(super) fn renew(&self, grant: &Grant, now: Instant) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return false;
        }
        state.expires_at = now + GRANT_LIFETIME;
        state.recorded_ends = state.recorded_ends.max(grant.recorded_ends);
        // Grants in flight may overtake each other.
        if grant.granted_at_ms >= state.granted_at_ms {
            state.granted_at_ms = grant.granted_at_ms;
            state.lease_until_clock_ms = grant.lease_until_clock_ms;
            let since = state.acknowledges_since.unwrap_or(now);
            state.acknowledges_since = grant.may_acknowledge.then_some(since);
        }
        self.changed.notify_all();
        true
    }

    /// Ends the link as soon as the renewal in progress has been answered.
    pub(super) fn end(&self) {
        self.state.lock().unwrap().ended = true;
        self.changed.notify_all();
    }

    /// Waits until the incarnation of the grants has answered recently, and returns whether it has
    /// before the deadline.
    pub(super) fn await_confirmation(&self, deadline: Instant) -> bool {
        let mut state = self.state.lock().unwrap();
        loop {
            let now = Instant::now();
            if state.ended || now >= state.expires_at || now >= deadline {
                return false;
            }
            if state.is_confirmed(now) {
                return true;
            }
            let timeout = deadline.saturating_duration_since(now);
            state = self.changed.wait_timeout(state, timeout).unwrap().0;
        }
    }

    /// Whether the incarnation of the grants has answered recently.
    pub(super) fn is_confirmed(&self) -> bool {
        self.state.lock().unwrap().is_confirmed(Instant::now())
    }

    /// Returns the clock of the incarnation of the grants by its latest list.
    pub(super) fn clock(&self) -> Option<ClockReading> {
        self.state.lock().unwrap().clock
    }

    fn note_list(&self, clock_ms: u64, now: Instant) {
        let mut state = self.state.lock().unwrap();
        state.confirmed_until = Some(now + CONFIRMATION_VALIDITY);
        state.clock = Some(ClockReading {
            clock_ms,
            received_at: now,
        });
        self.changed.notify_all();
    }

    fn withdraw_confirmation(&self) {
        self.state.lock().unwrap().confirmed_until = None;
        self.changed.notify_all();
    }

    /// Serves the worker until the link is ended or no grant has arrived for [`GRANT_LIFETIME`].
    pub(super) fn run(self: &Arc<Self>, relay: &Relay) {
        let mut wait = Duration::ZERO;
        let mut listed_at: Option<Instant> = None;
        // Time at which the latest call was sent, if the incarnation that the grants are for answered it.
        let mut confirmed_at: Option<Instant> = None;
        // Start orders wait from the renewal before an acknowledgement until that has begun.
        let mut held = None;
        while let Some((mut order, granted_at_ms)) = self.next_renewal(wait, confirmed_at) {
            let begun = self.begin_acknowledgement(relay, &mut order);
            if matches!(begun, BegunAcknowledgement::NeedsLaterAnswer) {
                held.get_or_insert_with(|| relay.open_calls.held_starts(&self.target));
            } else {
                held = None;
            }
            let open = match begun {
                BegunAcknowledgement::Open(open) => Some(open),
                BegunAcknowledgement::NeedsLaterAnswer | BegunAcknowledgement::Refused => None,
            };
            let sent_at = Instant::now();
            let deadline = sent_at + Duration::from_millis(order.wait_ms) + RENEWAL_GRACE;
            let result = (relay.outside.renew)(&self.target, &order, deadline);
            let is_unanswered = result.as_ref().is_err_and(CallFailure::may_have_arrived);
            if result.is_err() {
                // Start orders that wait for the answer to an acknowledgement find this afterwards.
                self.withdraw_confirmation();
            }
            if let Some(open) = open.filter(|_| !is_unanswered) {
                open.settle();
            }
            let report = match result {
                Ok(report) => report,
                Err(failure) => {
                    held = None;
                    if confirmed_at.is_some() {
                        log::info!(
                            worker = self.target.worker.as_str(), epoch = self.epoch,
                            incarnation = self.target.incarnation,
                            lease_until_clock_ms:? = order.lease_until_clock_ms,
                            recorded_ends = order.recorded_ends,
                            sent_ms_ago = sent_at.elapsed().as_millis() as u64;
                            "renewal without an answer, which may be carried out later: {failure}"
                        );
                    }
                    confirmed_at = None;
                    listed_at = None;
                    wait = Duration::ZERO;
                    relay.queue_event(self.epoch, &self.target, RelayEventKind::Silent { failure });
                    thread::sleep(RETRY_PAUSE);
                    continue;
                }
            };
            if report.incarnation != self.target.incarnation {
                log::info!(
                    worker = self.target.worker.as_str(), incarnation = self.target.incarnation,
                    answered = report.incarnation;
                    "another incarnation of the worker answered; closing the link"
                );
                let failure = CallFailure::OtherIncarnation;
                relay.queue_event(self.epoch, &self.target, RelayEventKind::Silent { failure });
                break;
            }
            confirmed_at = Some(sent_at);
            wait = RENEWAL_WAIT;
            if order.recorded_ends > 0 {
                log::info!(
                    worker = self.target.worker.as_str(), incarnation = self.target.incarnation,
                    generation = self.target.generation, epoch = self.epoch,
                    through = order.recorded_ends;
                    "ends acknowledged"
                );
            }
            self.note_acknowledged(order.recorded_ends);
            relay.open_calls.note_answer(&self.target, sent_at);
            let now = Instant::now();
            self.note_list(report.clock_ms, now);
            let last_end = report.ends.last().map_or(0, |end| end.number);
            let includes_running = listed_at.is_none_or(|at| now >= at + LIST_INTERVAL);
            if includes_running {
                listed_at = Some(now);
            }
            if includes_running || last_end > 0 {
                let report = if includes_running {
                    report
                } else {
                    ends_only(report)
                };
                let needs_higher_token = relay
                    .open_calls
                    .needs_higher_token(&self.target, self.epoch);
                let event = RelayEventKind::Listed {
                    granted_at_ms,
                    report,
                    outdated_generation: needs_higher_token.then_some(self.target.generation),
                };
                relay.queue_event(self.epoch, &self.target, event);
            }
            if last_end > order.recorded_ends && held.is_none() {
                self.await_record(last_end);
                if !self.may_acknowledge() {
                    thread::sleep(UNACKNOWLEDGED_PAUSE);
                }
            }
        }
        self.end();
    }

    /// Returns the next renewal and the time of its grant, or `None` if the link has to end.
    ///
    /// A worker that may have restarted receives neither a lease nor an acknowledgement: both would
    /// apply to the new incarnation, whose clock and numbers of ends start again.
    fn next_renewal(
        &self,
        wait: Duration,
        confirmed_at: Option<Instant>,
    ) -> Option<(RenewOrder, u64)> {
        let state = self.state.lock().unwrap();
        if state.ended || Instant::now() >= state.expires_at {
            return None;
        }
        let is_unacknowledged = has_answered_since(state.acknowledges_since, confirmed_at)
            && state.recorded_ends > state.acknowledged_ends;
        let order = RenewOrder {
            fence: self.epoch,
            lease_until_clock_ms: state
                .lease_until_clock_ms
                .filter(|_| confirmed_at.is_some()),
            recorded_ends: if is_unacknowledged {
                state.recorded_ends
            } else {
                0
            },
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
        };
        Some((order, state.granted_at_ms))
    }

    /// Takes the acknowledgement out of a renewal while a start order has no answer, or one that a later
    /// incarnation of the worker may have given: that one could carry out both. If start orders wait for
    /// the answer, the worker gives it at once.
    fn begin_acknowledgement<'a>(
        &'a self,
        relay: &'a Relay,
        order: &mut RenewOrder,
    ) -> BegunAcknowledgement<'a> {
        if order.recorded_ends == 0 {
            return BegunAcknowledgement::Refused;
        }
        let calls = &relay.open_calls;
        let deadline = Instant::now() + RECORD_WAIT;
        let begun = calls.begin_acknowledgement(&self.target, self.epoch, deadline);
        match begun {
            BegunAcknowledgement::Open(_) => {
                if calls.separates_acknowledgements(&self.target) {
                    order.wait_ms = 0;
                }
            }
            BegunAcknowledgement::NeedsLaterAnswer => {
                order.recorded_ends = 0;
                order.wait_ms = 0;
            }
            BegunAcknowledgement::Refused => {
                order.recorded_ends = 0;
                thread::sleep(UNACKNOWLEDGED_PAUSE);
            }
        }
        begun
    }

    fn may_acknowledge(&self) -> bool {
        self.state.lock().unwrap().acknowledges_since.is_some()
    }

    fn note_acknowledged(&self, ends: u64) {
        let mut state = self.state.lock().unwrap();
        state.acknowledged_ends = state.acknowledged_ends.max(ends);
    }

    /// Waits until the placer has recorded an end, at most for [`RECORD_WAIT`]: a worker with an
    /// unacknowledged end answers each renewal at once.
    fn await_record(&self, end: u64) {
        let state = self.state.lock().unwrap();
        let is_unrecorded = |state: &mut GrantState| !state.ended && state.recorded_ends < end;
        let waited = self
            .changed
            .wait_timeout_while(state, RECORD_WAIT, is_unrecorded);
        drop(waited);
    }
}

/// Removes the running runs from a report.
fn ends_only(report: WorkerReport) -> WorkerReport {
    WorkerReport {
        running: Vec::new(),
        complete: false,
        ..report
    }
}
