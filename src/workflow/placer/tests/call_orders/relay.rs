//! A relay as `relay/link.rs` and `relay/open_calls.rs` have it, as events instead of
//! threads. The decisions on open calls are the real ones.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::cell::{Answer, Cell};
use super::worker::Request;
use crate::ids::{Epoch, HostId, WorkerId};
use crate::workflow::calls::{CallFailure, RenewOrder, WorkerReport, WorkerTarget};
use crate::workflow::decisions::fencing::fencing_token;
use crate::workflow::decisions::leases::ClockReading;
use crate::workflow::decisions::open_calls::{AcknowledgementStep, OpenCalls, has_answered_since};
use crate::workflow::relay::link::{
    CONFIRMATION_VALIDITY, GRANT_LIFETIME, LIST_INTERVAL, RECORD_WAIT, RENEWAL_GRACE, RENEWAL_WAIT,
    RETRY_PAUSE, UNACKNOWLEDGED_PAUSE,
};
use crate::workflow::relay::messages::{
    Grant, Instructions, RelayEvent, RelayEventKind, RelayedOrder, WorkerOrder,
};
use crate::workflow::relay::orders::{ORDER_TIMEOUT, START_VALIDITY};

/// Interval at which waits look at what they wait for.
pub(super) const POLL: Duration = Duration::from_millis(5);

pub(super) struct Relay {
    pub host: HostId,
    pub epoch: Epoch,
    pub links: IndexMap<WorkerId, usize>,
    calls: IndexMap<WorkerId, OpenCalls>,
}

impl Relay {
    pub(super) fn new(number: usize) -> Self {
        Self {
            host: format!("10.0.1.{number}"),
            epoch: 0,
            links: IndexMap::new(),
            calls: IndexMap::new(),
        }
    }

    pub(super) fn calls_to(
        &mut self,
        target: &WorkerTarget,
        epoch: Epoch,
    ) -> Option<&mut OpenCalls> {
        let calls = self.calls.entry(target.worker.clone()).or_default();
        let is_due = calls.begin_call(target.incarnation, (epoch, target.generation));
        is_due.then_some(calls)
    }

    pub(super) fn update(&mut self, target: &WorkerTarget, change: impl FnOnce(&mut OpenCalls)) {
        let calls = self.calls.get_mut(&target.worker);
        if let Some(calls) = calls.filter(|calls| calls.incarnation == target.incarnation) {
            change(calls);
        }
    }
}

pub(super) struct Link {
    pub relay: usize,
    pub epoch: Epoch,
    pub target: WorkerTarget,
    grant: Grant,
    recorded_ends: u64,
    acknowledged_ends: u64,
    acknowledges_since: Option<Instant>,
    pub expires_at: Instant,
    confirmed_until: Option<Instant>,
    pub clock: Option<ClockReading>,
    /// Whether start orders wait from the renewal before an acknowledgement until that has begun.
    holds_starts: bool,
    pub has_ended: bool,
    /// Time at which the latest call was sent, if it was answered.
    confirmed_at: Option<Instant>,
    wait: Duration,
    listed_at: Option<Instant>,
}

impl Link {
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        !self.has_ended && self.confirmed_until.is_some_and(|until| now < until)
    }
}

impl Cell {
    pub(super) fn accept(&mut self, number: usize, instructions: Instructions) {
        let now = self.now.at;
        let relay = &mut self.relays[number];
        if instructions.epoch < relay.epoch {
            return;
        }
        if instructions.epoch > relay.epoch {
            for (_, link) in relay.links.drain(..) {
                self.links[link].has_ended = true;
            }
            relay.epoch = instructions.epoch;
        }
        let mut added = Vec::new();
        for grant in instructions.grants {
            let id = grant.target.worker.clone();
            if let Some(link) = relay.links.get(&id) {
                let link = &mut self.links[*link];
                if link.target == grant.target && !link.has_ended {
                    link.expires_at = now + GRANT_LIFETIME;
                    link.recorded_ends = link.recorded_ends.max(grant.recorded_ends);
                    if grant.granted_at_ms >= link.grant.granted_at_ms {
                        let since = link.acknowledges_since.unwrap_or(now);
                        link.acknowledges_since = grant.may_acknowledge.then_some(since);
                        link.grant = grant;
                    }
                    continue;
                }
                if link.target.generation > grant.target.generation {
                    continue;
                }
                link.has_ended = true;
            }
            let link = self.links.len();
            relay.links.insert(id, link);
            self.links.push(Link {
                relay: number,
                epoch: relay.epoch,
                target: grant.target.clone(),
                recorded_ends: grant.recorded_ends,
                acknowledges_since: grant.may_acknowledge.then_some(now),
                grant,
                acknowledged_ends: 0,
                expires_at: now + GRANT_LIFETIME,
                confirmed_until: None,
                clock: None,
                holds_starts: false,
                has_ended: false,
                confirmed_at: None,
                wait: Duration::ZERO,
                listed_at: None,
            });
            added.push(link);
        }
        for link in added {
            self.soon(move |cell| cell.run_link(link));
        }
        for RelayedOrder { target, order } in instructions.orders {
            match order {
                WorkerOrder::Start(order) => self.soon(move |cell| {
                    cell.accept_start(number, &target, order, now + START_VALIDITY);
                }),
                WorkerOrder::Stop(order) => self.soon(move |cell| {
                    if cell.relays[number].epoch != order.fence {
                        return;
                    }
                    let token = fencing_token(order.fence, target.generation);
                    let (id, request) =
                        (target.worker.clone(), Request::Stop(order.clone(), token));
                    let done = move |cell: &mut Cell, result: Result<Answer, CallFailure>| {
                        if let Ok(Answer::Order(answer)) = result {
                            let kind = RelayEventKind::StopAnswered {
                                task: order.task,
                                run: order.run,
                                answer,
                            };
                            cell.queue_event(number, order.fence, &target, kind);
                        }
                    };
                    cell.call(&id, request, ORDER_TIMEOUT, Box::new(done));
                }),
            }
        }
    }

    fn soon(&mut self, event: impl FnOnce(&mut Self) + 'static) {
        self.after(Duration::ZERO, event);
    }

    pub(super) fn queue_event(
        &mut self,
        relay: usize,
        epoch: Epoch,
        target: &WorkerTarget,
        kind: RelayEventKind,
    ) {
        if self.relays[relay].epoch != epoch {
            return;
        }
        let event = RelayEvent {
            worker: target.worker.clone(),
            incarnation: target.incarnation,
            kind,
        };
        self.report(relay, epoch, event);
    }

    // Renewals.

    fn run_link(&mut self, number: usize) {
        let now = self.now.at;
        let link = &self.links[number];
        if link.has_ended || now >= link.expires_at {
            self.end_link(number);
            return;
        }
        let is_unacknowledged = has_answered_since(link.acknowledges_since, link.confirmed_at)
            && link.recorded_ends > link.acknowledged_ends;
        let order = RenewOrder {
            fence: link.epoch,
            lease_until_clock_ms: link
                .grant
                .lease_until_clock_ms
                .filter(|_| link.confirmed_at.is_some()),
            recorded_ends: if is_unacknowledged {
                link.recorded_ends
            } else {
                0
            },
            wait_ms: link.wait.as_millis() as u64,
        };
        let granted_at_ms = link.grant.granted_at_ms;
        if is_unacknowledged {
            self.begin_acknowledgement(number, order, granted_at_ms, now + RECORD_WAIT);
        } else {
            self.release_starts(number);
            self.renew_lease(number, order, granted_at_ms, false);
        }
    }

    fn release_starts(&mut self, number: usize) {
        let link = &mut self.links[number];
        if link.holds_starts {
            link.holds_starts = false;
            let target = link.target.clone();
            self.relays[link.relay].update(&target, |calls| calls.acknowledgement_waits = false);
        }
    }

    fn begin_acknowledgement(
        &mut self,
        number: usize,
        mut order: RenewOrder,
        granted_at_ms: u64,
        deadline: Instant,
    ) {
        let now = self.now.at;
        let link = &self.links[number];
        let calls = self.relays[link.relay].calls_to(&link.target, link.epoch);
        let step = calls.map_or(AcknowledgementStep::Refused, |calls| {
            let step = calls.begin_acknowledgement(now, deadline);
            if step == AcknowledgementStep::Begun && calls.takes_starts {
                order.wait_ms = 0;
            }
            step
        });
        match step {
            AcknowledgementStep::Begun => {
                self.release_starts(number);
                self.renew_lease(number, order, granted_at_ms, true);
            }
            AcknowledgementStep::AwaitsAnswers => self.after(POLL, move |cell| {
                cell.begin_acknowledgement(number, order, granted_at_ms, deadline);
            }),
            AcknowledgementStep::NeedsLaterAnswer => {
                self.links[number].holds_starts = true;
                order.recorded_ends = 0;
                order.wait_ms = 0;
                self.renew_lease(number, order, granted_at_ms, false);
            }
            AcknowledgementStep::Refused => {
                self.release_starts(number);
                order.recorded_ends = 0;
                self.after(UNACKNOWLEDGED_PAUSE, move |cell| {
                    cell.renew_lease(number, order, granted_at_ms, false);
                });
            }
        }
    }

    fn renew_lease(&mut self, number: usize, order: RenewOrder, granted_at_ms: u64, acks: bool) {
        let link = &self.links[number];
        let token = fencing_token(order.fence, link.target.generation);
        let (id, sent_at) = (link.target.worker.clone(), self.now.at);
        let timeout = Duration::from_millis(order.wait_ms) + RENEWAL_GRACE;
        let request = Request::Renew(order.clone(), token);
        let done = move |cell: &mut Cell, result: Result<Answer, CallFailure>| {
            let result = match result {
                Ok(Answer::Lists(lists)) => Ok(lists),
                Ok(_) => Err(CallFailure::Fenced),
                Err(failure) => Err(failure),
            };
            cell.end_renewal(number, &order, (granted_at_ms, sent_at), acks, result);
        };
        self.call(&id, request, timeout, Box::new(done));
    }

    fn end_renewal(
        &mut self,
        number: usize,
        order: &RenewOrder,
        (granted_at_ms, sent_at): (u64, Instant),
        acks: bool,
        result: Result<WorkerReport, CallFailure>,
    ) {
        let now = self.now.at;
        let link = &mut self.links[number];
        let (relay, epoch, target) = (link.relay, link.epoch, link.target.clone());
        let is_unanswered = result.as_ref().is_err_and(CallFailure::may_have_arrived);
        if is_unanswered {
            link.confirmed_until = None;
        }
        if acks {
            self.relays[relay].update(&target, |calls| {
                calls.is_acknowledging = false;
                if is_unanswered {
                    let token = Some((epoch, target.generation));
                    calls.unanswered_acknowledgement = calls.unanswered_acknowledgement.max(token);
                }
            });
        }
        let mut report = match result {
            Ok(report) => report,
            Err(failure) => {
                link.confirmed_at = None;
                link.confirmed_until = None;
                link.listed_at = None;
                link.wait = Duration::ZERO;
                self.release_starts(number);
                self.queue_event(relay, epoch, &target, RelayEventKind::Silent { failure });
                self.after(RETRY_PAUSE, move |cell| cell.run_link(number));
                return;
            }
        };
        if report.incarnation != target.incarnation {
            let failure = CallFailure::OtherIncarnation;
            self.queue_event(relay, epoch, &target, RelayEventKind::Silent { failure });
            self.end_link(number);
            return;
        }
        link.confirmed_at = Some(sent_at);
        link.wait = RENEWAL_WAIT;
        link.acknowledged_ends = link.acknowledged_ends.max(order.recorded_ends);
        link.confirmed_until = Some(now + CONFIRMATION_VALIDITY);
        link.clock = Some(ClockReading {
            clock_ms: report.clock_ms,
            received_at: now,
        });
        let holds_starts = link.holds_starts;
        let includes_running = link.listed_at.is_none_or(|at| now >= at + LIST_INTERVAL);
        if includes_running {
            link.listed_at = Some(now);
        }
        let mut needs_higher_token = false;
        self.relays[relay].update(&target, |calls| {
            calls.note_answer(sent_at);
        });
        if let Some(calls) = self.relays[relay].calls.get(&target.worker) {
            needs_higher_token = calls.needs_higher_token((epoch, target.generation));
        }
        let last_end = report.ends.last().map_or(0, |end| end.number);
        if includes_running || last_end > 0 {
            if !includes_running {
                report.running.clear();
                report.complete = false;
            }
            let kind = RelayEventKind::Listed {
                granted_at_ms,
                report,
                outdated_generation: needs_higher_token.then_some(target.generation),
            };
            self.queue_event(relay, epoch, &target, kind);
        }
        if last_end > order.recorded_ends && !holds_starts {
            self.await_record(number, last_end, now + RECORD_WAIT);
        } else {
            self.run_link(number);
        }
    }

    fn await_record(&mut self, number: usize, end: u64, deadline: Instant) {
        let link = &self.links[number];
        if !link.has_ended && link.recorded_ends < end && self.now.at < deadline {
            self.after(POLL, move |cell| cell.await_record(number, end, deadline));
        } else if link.acknowledges_since.is_some() {
            self.run_link(number);
        } else {
            self.after(UNACKNOWLEDGED_PAUSE, move |cell| cell.run_link(number));
        }
    }

    fn end_link(&mut self, number: usize) {
        self.release_starts(number);
        let link = &mut self.links[number];
        link.has_ended = true;
        let relay = &mut self.relays[link.relay];
        if relay.links.get(&link.target.worker) == Some(&number) {
            relay.links.swap_remove(&link.target.worker);
            let (served, now) = (&relay.links, self.now.at);
            let keeps = |id: &WorkerId, calls: &mut OpenCalls| {
                served.contains_key(id) || !calls.is_settled(now)
            };
            relay.calls.retain(keeps);
        }
    }
}
