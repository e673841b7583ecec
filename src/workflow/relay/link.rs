//! Link of a relay to one worker: renews its lease and reads its lists.

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::super::calls::{RenewOrder, WorkerReport, WorkerTarget};
use super::messages::{Grant, RelayEventKind};
use super::{Link, Relay};
use crate::ids::Epoch;

/// How long a worker may wait for an end before it answers a renewal.
const RENEWAL_WAIT: Duration = Duration::from_millis(1_000);
/// Time for an answer beyond the wait: a round trip between regions and the worker's own delay.
const RENEWAL_GRACE: Duration = Duration::from_millis(600);
/// Pause after a renewal without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for the acknowledgement of ends before the lease is renewed without it: a report, a
/// commit among three regions and the next grant, with one of them lost.
const RECORD_WAIT: Duration = Duration::from_millis(700);
/// Interval in which the placer gets the list of what runs; ends are reported at once.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a new grant after which the link ends: three intervals of the placer's grants.
const GRANT_LIFETIME: Duration = Duration::from_millis(3_000);

/// What the placer granted last.
pub(super) struct GrantState {
    lease_until_clock_ms: Option<u64>,
    /// Never goes back.
    recorded_ends: u64,
    granted_at_ms: u64,
    expires_at: Instant,
    ended: bool,
}

impl Link {
    pub(super) fn new(epoch: Epoch, grant: Grant, now: Instant) -> Self {
        Self {
            epoch,
            target: grant.target,
            state: Mutex::new(GrantState {
                lease_until_clock_ms: grant.lease_until_clock_ms,
                recorded_ends: grant.recorded_ends,
                granted_at_ms: grant.granted_at_ms,
                expires_at: now + GRANT_LIFETIME,
                ended: false,
            }),
            changed: Condvar::new(),
        }
    }

    /// The incarnation of the worker that the link serves.
    pub(super) fn serves(&self, target: &WorkerTarget) -> bool {
        self.target == *target
    }

    /// Takes a newer grant; returns whether the link is still there.
    pub(super) fn renew(&self, grant: &Grant, now: Instant) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.ended {
            return false;
        }
        state.expires_at = now + GRANT_LIFETIME;
        state.recorded_ends = state.recorded_ends.max(grant.recorded_ends);
        // Grants on their way may overtake each other.
        if grant.granted_at_ms >= state.granted_at_ms {
            state.granted_at_ms = grant.granted_at_ms;
            state.lease_until_clock_ms = grant.lease_until_clock_ms;
        }
        self.changed.notify_all();
        true
    }

    /// Ends the link at the next opportunity.
    pub(super) fn end(&self) {
        self.state.lock().unwrap().ended = true;
        self.changed.notify_all();
    }

    /// Serves the worker until the link is ended or no grant has arrived for a while.
    pub(super) fn run(self: &Arc<Self>, relay: &Relay) {
        let mut wait = Duration::ZERO;
        let mut listed_at: Option<Instant> = None;
        // Whether the latest answer came from the incarnation that the grants are for.
        let mut confirmed = false;
        while let Some((order, granted_at_ms)) = self.next_renewal(wait, confirmed) {
            let deadline = Instant::now() + wait + RENEWAL_GRACE;
            let report = match (relay.outside.renew)(&self.target, &order, deadline) {
                Ok(report) => report,
                Err(failure) => {
                    confirmed = false;
                    listed_at = None;
                    wait = Duration::ZERO;
                    relay.note(self.epoch, &self.target, RelayEventKind::Silent { failure });
                    thread::sleep(RETRY_PAUSE);
                    continue;
                }
            };
            if report.incarnation != self.target.incarnation {
                log::info!(
                    worker = self.target.worker.as_str(), incarnation = self.target.incarnation,
                    answered = report.incarnation;
                    "another incarnation answered; the link ends"
                );
                break;
            }
            confirmed = true;
            wait = RENEWAL_WAIT;
            let now = Instant::now();
            let last_end = report.ends.last().map_or(0, |end| end.number);
            let lists = listed_at.is_none_or(|at| now >= at + LIST_INTERVAL);
            if lists {
                listed_at = Some(now);
            }
            if lists || last_end > 0 {
                let report = if lists { report } else { ends_only(report) };
                let event = RelayEventKind::Listed {
                    granted_at_ms,
                    report,
                };
                relay.note(self.epoch, &self.target, event);
            }
            if last_end > order.recorded_ends {
                self.await_record(last_end);
            }
        }
        self.end();
    }

    /// The next renewal and when its grant was made; `None` when the link has to end. A worker that
    /// may have restarted gets neither a lease nor an acknowledgement: both would hold for its new
    /// life, whose clock and ends begin anew.
    fn next_renewal(&self, wait: Duration, confirmed: bool) -> Option<(RenewOrder, u64)> {
        let state = self.state.lock().unwrap();
        if state.ended || Instant::now() >= state.expires_at {
            return None;
        }
        let order = RenewOrder {
            fence: self.epoch,
            lease_until_clock_ms: state.lease_until_clock_ms.filter(|_| confirmed),
            recorded_ends: if confirmed { state.recorded_ends } else { 0 },
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(0),
        };
        Some((order, state.granted_at_ms))
    }

    /// Waits until the placer has recorded an end: until then a worker answers each renewal at once.
    fn await_record(&self, end: u64) {
        let state = self.state.lock().unwrap();
        let missing = |state: &mut GrantState| !state.ended && state.recorded_ends < end;
        let waited = self.changed.wait_timeout_while(state, RECORD_WAIT, missing);
        drop(waited);
    }
}

/// The report without what runs.
fn ends_only(report: WorkerReport) -> WorkerReport {
    WorkerReport {
        running: Vec::new(),
        complete: false,
        ..report
    }
}
