//! The placer of a cell: the leader of the workflow log.
//!
//! Threads of callers, workers and timers lock the term, change it and leave; what they append is
//! proposed in that order when they leave. A thread executes the effects of committed batches.

mod backlog;
mod call_limits;
mod client_calls;
mod figures;
mod gangs;
mod heartbeats;
mod load;
mod orders;
mod passes;
mod policy;
mod relaying;
mod replicas;
mod replies;
mod reports;
mod runs;
mod scheduling;
mod search;
mod takeover;
mod term;
mod term_lock;
#[cfg(test)]
mod tests;
mod workers;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use indexmap::IndexMap;

use super::calls::{Call, OutsideCalls, Reply};
use super::records::Batch;
use super::state::WorkflowState;
use crate::clock::Clock;
use crate::ids::{Epoch, HostId, Incarnation, WorkerId};
use crate::peer::PeerClient;
use crate::replication::{Replica, StateMachine};
use crate::telemetry::processor_time::{self, Activity};

pub use call_limits::{BUSY_RETRY_MS, CallLimits, MAX_CALLS, MAX_CALLS_PER_HOST};
use figures::Figures;
use relaying::RelaySenders;
pub use relaying::SendInstructions;
pub use replies::CallResponder;
use term::{Effect, Sealed, Term};
pub use term::{Order, OrderKind};
use term_lock::{TermGuard, TermLock};

/// Interval of time-driven steps.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the look whether this host leads; a part of `TICK_INTERVAL`, since nothing is placed
/// between an election and the take-over.
const LEADERSHIP_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which changes are collected before a scheduling pass.
const SCHEDULING_DELAY: Duration = Duration::from_millis(4);
/// Threads that put questions to the placement policy; each waits for one answer at a time. At a
/// round trip of 200 ms they carry 300 questions a second; with 24 threads, questions of a burst
/// waited 1.2 s.
const POLICY_THREADS: usize = 64;
/// Stack of the threads of the placer; they do not recurse.
const STACK_BYTES: usize = 256 * 1024;

/// Figures of the placer.
#[derive(Clone, Debug)]
pub struct PlacerSettings {
    /// This host.
    pub host: HostId,
    /// Lease that each renewal grants to a worker.
    pub lease: Duration,
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// Time for which ended jobs are kept.
    pub retention: Duration,
    /// Voters of the log when enough storage hosts are there.
    pub wanted_voters: usize,
}

/// Finds the client for calls to another host.
pub type FindPeer = Arc<dyn Fn(&HostId) -> PeerClient + Send + Sync>;

/// The committed state of a replica, and the announcements of its commits.
#[derive(Clone)]
pub struct Committed {
    /// State after the last applied batch.
    pub state: Arc<Mutex<WorkflowState>>,
    applied: Sender<(Epoch, u64)>,
    notices: Receiver<(Epoch, u64)>,
}

impl Default for Committed {
    fn default() -> Self {
        let (applied, notices) = unbounded();
        Self {
            state: Arc::default(),
            applied,
            notices,
        }
    }
}

impl Committed {
    /// The state machine of the workflow log.
    pub fn machine(&self) -> StateMachine<()> {
        let (apply, snapshot, restore) = (self.clone(), self.clone(), self.clone());
        StateMachine {
            apply: Box::new(
                move |index, command| match postcard::from_bytes::<Batch>(command) {
                    Ok(batch) => {
                        let position = (batch.epoch, batch.sequence);
                        if apply.state.lock().unwrap().apply(batch) {
                            let _ = apply.applied.send(position);
                        }
                    }
                    Err(error) => log::error!("workflow batch {index} cannot be decoded: {error}"),
                },
            ),
            snapshot: Box::new(move || {
                postcard::to_stdvec(&*snapshot.state.lock().unwrap())
                    .expect("the state consists of types postcard can encode")
            }),
            restore: Box::new(move |bytes| match postcard::from_bytes(bytes) {
                Ok(state) => *restore.state.lock().unwrap() = state,
                Err(error) => log::error!("a workflow snapshot cannot be decoded: {error}"),
            }),
        }
    }
}

/// The placer on one storage host; acts only while the host leads.
pub struct Placer {
    settings: PlacerSettings,
    clock: Clock,
    replica: Arc<Replica<()>>,
    committed: Committed,
    outside: OutsideCalls,
    find_peer: FindPeer,
    call_limits: CallLimits,
    /// Latest heartbeats that this host acknowledged from the committed state.
    acknowledged_heartbeats: Mutex<IndexMap<WorkerId, (Incarnation, u64)>>,
    send: SendInstructions,
    relay_senders: Mutex<RelaySenders>,
    term: TermLock,
    figures: Arc<Figures>,
    /// Holds at most one request to send pending orders.
    wake_dispatcher: Sender<()>,
    questions: Sender<policy::Question>,
    /// Holds at most one request for a scheduling pass.
    wake_scheduler: Sender<()>,
}

/// Time of a step.
#[derive(Clone, Copy, Debug)]
struct Now {
    /// Steady clock.
    at: Instant,
    /// Time of day.
    unix_ms: u64,
}

impl Placer {
    /// Starts the threads of the placer.
    pub fn start(
        settings: PlacerSettings,
        clock: Clock,
        replica: Arc<Replica<()>>,
        committed: Committed,
        outside: OutsideCalls,
        find_peer: FindPeer,
        send: SendInstructions,
    ) -> Arc<Self> {
        let (wake_dispatcher, orders) = bounded(1);
        let (questions, question_queue) = unbounded();
        let (wake_scheduler, wake_ups) = bounded(1);
        let notices = committed.notices.clone();
        let figures = Arc::<Figures>::default();
        let placer = Arc::new(Self {
            settings,
            clock,
            replica,
            committed,
            outside,
            find_peer,
            call_limits: CallLimits::default(),
            acknowledged_heartbeats: Mutex::default(),
            send,
            relay_senders: Mutex::default(),
            term: TermLock::new(Arc::clone(&figures)),
            figures,
            wake_dispatcher,
            questions,
            wake_scheduler,
        });
        placer.spawn(Activity::Effects, move |placer| {
            placer.run_effects(&notices);
        });
        placer.spawn(Activity::Pass, move |placer| {
            placer.run_scheduler(&wake_ups);
        });
        placer.spawn(Activity::Tick, Self::run_timer);
        placer.spawn(Activity::Membership, Self::run_membership);
        placer.spawn(Activity::Call, |placer| placer.run_reports());
        placer.spawn(Activity::Order, move |placer| {
            placer.run_dispatcher(&orders);
        });
        for _ in 0..POLICY_THREADS {
            let queue = question_queue.clone();
            placer.spawn(Activity::Policy, move |placer| placer.run_questions(&queue));
        }
        placer
    }

    fn spawn(self: &Arc<Self>, activity: Activity, run: impl FnOnce(&Arc<Self>) + Send + 'static) {
        let placer = Arc::clone(self);
        let name = activity.label();
        let spawned = thread::Builder::new()
            .name(format!("placer-{name}"))
            .stack_size(STACK_BYTES)
            .spawn(move || {
                processor_time::begin(activity);
                run(&placer);
            });
        if let Err(error) = spawned {
            log::error!(thread = name; "cannot start a thread of the placer: {error}");
        }
    }

    /// Whether this host leads and has taken over.
    pub fn is_leading(&self) -> bool {
        let epoch = self.replica.leadership();
        let term = self.lock();
        term.as_ref()
            .is_some_and(|term| term.ready && epoch == Some(term.epoch))
    }

    /// Handles a call of a host. Queries and refusals are answered at once; other replies follow
    /// their commit. When the term ends before, the call may have taken effect.
    pub fn handle(&self, from: &HostId, call: Call, responder: CallResponder) {
        if matches!(&call, Call::Heartbeat(heartbeat) if self.knows(heartbeat)) {
            responder.reply(Reply::WorkerNoted);
            return;
        }
        if !self.is_leading() {
            responder.not_leading();
            return;
        }
        if let Call::Query(target) = &call {
            responder.reply(self.query(target));
            return;
        }
        let place = call.is_limited().then(|| self.call_limits.enter(from));
        let responder = match place {
            None => responder,
            Some(Some(place)) => responder.holding(place),
            Some(None) => {
                log::debug!(host = from.as_str(); "call refused: too many calls in flight");
                responder.reply(Reply::Busy {
                    retry_after_ms: BUSY_RETRY_MS,
                });
                return;
            }
        };
        let mut waiting = Some(responder);
        self.with_term(None, |term, now| {
            if let Some(responder) = waiting.take() {
                term.handle_call(call, responder, now);
            }
        });
        // The term ended since the leadership was checked.
        if let Some(responder) = waiting {
            responder.not_leading();
        }
    }

    fn lock(&self) -> TermGuard<'_> {
        self.term.lock()
    }

    /// Ends the term after a failure to append.
    fn stop_placing(&self, guard: &mut TermGuard<'_>, reason: &str) {
        let Some(term) = guard.take() else {
            return;
        };
        self.figures.note_term(None);
        self.report_loss(
            term.epoch,
            guard.waited,
            &format!("stops placing: {reason}"),
        );
    }

    fn now(&self) -> Now {
        Now {
            at: self.clock.now(),
            unix_ms: self.clock.unix_ms(),
        }
    }

    /// Runs a step of the term, given its epoch or whichever there is, and appends what it
    /// recorded. `None` when there is no such term.
    fn with_term<R>(
        &self,
        epoch: Option<Epoch>,
        step: impl FnOnce(&mut Term, Now) -> R,
    ) -> Option<R> {
        let mut guard = self.lock();
        let term = guard.as_mut()?;
        if epoch.is_some_and(|epoch| epoch != term.epoch) {
            return None;
        }
        let result = step(term, self.now());
        if let Err(reason) = self.flush(term) {
            self.stop_placing(&mut guard, &reason);
            return None;
        }
        let pass_is_due = term.pass_is_due();
        drop(guard);
        self.request_pass(pass_is_due);
        Some(result)
    }

    /// Appends the pending records, or executes the pending effects when there is nothing to
    /// commit.
    fn flush(&self, term: &mut Term) -> Result<(), String> {
        match term.seal() {
            Sealed::Effects(effects) => {
                self.execute(term, effects);
                Ok(())
            }
            Sealed::Batch(batch) => {
                let command = postcard::to_stdvec(&batch).map_err(|error| error.to_string())?;
                self.figures.note_appended(batch.sequence, Instant::now());
                let appended = self.replica.append(command);
                appended.map_err(|error| error.to_string())
            }
        }
    }

    fn run_effects(&self, notices: &Receiver<(Epoch, u64)>) {
        for (epoch, sequence) in notices {
            let mut guard = self.lock();
            let Some(term) = guard.as_mut().filter(|term| term.epoch == epoch) else {
                continue;
            };
            self.figures.note_committed(sequence, Instant::now());
            let effects = term.committed(sequence);
            self.execute(term, effects);
            let pass_is_due = term.pass_is_due();
            drop(guard);
            self.request_pass(pass_is_due);
        }
    }

    fn request_pass(&self, is_due: bool) {
        if is_due {
            let _ = self.wake_scheduler.try_send(());
        }
    }

    fn execute(&self, term: &mut Term, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(responder, reply) => responder.reply(reply),
                Effect::ReplyQueues(responder) => {
                    let state = self.committed.state.lock().unwrap();
                    let document = state.configuration.as_ref();
                    let document = document.map(|present| present.document.clone());
                    responder.reply(Reply::Queues(document));
                }
                Effect::Order(order) => {
                    term.pending_orders.push(order);
                    let _ = self.wake_dispatcher.try_send(());
                }
                Effect::EndsRecorded {
                    worker,
                    incarnation,
                    through,
                } => term.note_recorded_ends(&worker, incarnation, through),
                Effect::TakenOver => {
                    term.ready = true;
                    log::info!(
                        epoch = term.epoch, jobs = term.state.jobs.len(), runs = term.runs.len(),
                        workers = term.workers.len(), version = term.state.version(),
                        after_ms = term.began_at.elapsed().as_millis() as u64;
                        "took over as placer"
                    );
                }
            }
        }
    }

    fn run_scheduler(self: &Arc<Self>, wake_ups: &Receiver<()>) {
        for () in wake_ups {
            thread::sleep(SCHEDULING_DELAY);
            let mut guard = self.lock();
            let due = guard
                .as_mut()
                .filter(|term| term.ready && term.pass_is_due());
            let Some(term) = due else {
                continue;
            };
            let began_at = Instant::now();
            let questions = term.schedule(self.now());
            self.figures
                .note_pass(began_at.elapsed(), term.passes.examined_since_report());
            if let Err(reason) = self.flush(term) {
                self.stop_placing(&mut guard, &reason);
                continue;
            }
            drop(guard);
            for question in questions {
                let _ = self.questions.send(question);
            }
        }
    }

    fn run_timer(self: &Arc<Self>) {
        let mut next_tick_at = self.clock.now();
        loop {
            self.follow_leadership();
            if self.clock.now() >= next_tick_at {
                next_tick_at = self.clock.now() + TICK_INTERVAL;
                self.with_term(None, Term::tick);
            }
            thread::sleep(LEADERSHIP_INTERVAL);
        }
    }

    /// Begins or ends a term when the leadership has changed.
    fn follow_leadership(&self) {
        let epoch = self.replica.leadership();
        let mut guard = self.lock();
        let held = guard.as_ref().map(|term| term.epoch);
        if held == epoch {
            return;
        }
        *guard = None;
        self.figures.note_term(epoch);
        if let Some(held) = held {
            self.report_loss(held, guard.waited, "no longer leads the workflow log");
        }
        let Some(epoch) = epoch else {
            return;
        };
        let state = self.committed.state.lock().unwrap().clone();
        let mut term = Term::begin(epoch, state, self.settings.clone(), self.now());
        match self.flush(&mut term) {
            Ok(()) => *guard = Some(term),
            Err(reason) => {
                self.figures.note_term(None);
                log::warn!(epoch; "cannot take over: {reason}");
            }
        }
    }

    /// Passes the leadership to another storage host, for a planned stop.
    pub fn hand_over(&self, deadline: Instant) {
        if self.replica.leadership().is_none() {
            return;
        }
        match self.replica.transfer_leadership(None, deadline) {
            Ok(()) => log::info!("handed the leadership over"),
            Err(error) => log::warn!("the leadership was not handed over: {error}"),
        }
    }

    /// Host that leads, when known.
    pub fn leader_hint(&self) -> Option<HostId> {
        self.replica.leader_hint()
    }
}
