//! The placer of a cell: the leader of the workflow log.
//!
//! Each thread that handles a call, a report or a timer locks the term, changes it and, before it
//! releases the lock, appends the resulting records to the log, so that batches are proposed in the
//! order of the changes. A separate thread executes the effects of committed batches.

mod backlog;
mod call_limits;
mod capacity;
mod claims;
mod client_calls;
mod committed;
mod crashes;
mod customer_shares;
mod customers;
mod early_cancellations;
mod figures;
mod gang_sizes;
mod gangs;
mod gathering;
mod given_up_runs;
mod growth;
mod heartbeats;
mod idle_room;
mod isolation;
mod leases;
mod load;
mod open_calls;
mod orders;
mod passes;
mod place_waits;
mod policy;
mod ranked_stages;
mod relaying;
mod renewals;
mod replicas;
mod replies;
mod reports;
mod reserved_room;
mod runs;
mod scheduling;
mod search;
mod settings;
mod speeds;
mod takeover;
mod term;
mod term_lock;
#[cfg(test)]
mod tests;
mod waiting_gangs;
mod waiting_jobs;
mod workers;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};

use super::calls::{OutsideCalls, Reply};
use crate::clock::Clock;
use crate::ids::{Epoch, HostId};
use crate::peer::PeerClient;
use crate::replication::Replica;
use crate::telemetry::processor_time::{self, Activity};

pub use call_limits::{BUSY_RETRY_MS, CallLimits, MAX_CALLS, MAX_CALLS_PER_HOST};
pub use committed::Committed;
use figures::PlacerStatistics;
use heartbeats::HeartbeatRecords;
use relaying::RelaySenders;
pub use relaying::SendInstructions;
pub use replies::CallResponder;
pub use settings::PlacerSettings;
use term::{Effect, StepOutput, Term};
pub use term::{Order, OrderKind};
use term_lock::{TermGuard, TermLock};
use waiting_jobs::JobCounts;

/// Interval of the time-driven steps of a term.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the leadership of this host is checked; shorter than `TICK_INTERVAL`, since
/// nothing is placed between an election and the take-over.
const LEADERSHIP_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which changes are collected before a scheduling pass.
const SCHEDULING_DELAY: Duration = Duration::from_millis(4);
/// Threads that send questions to the placement policy; each waits for one answer at a time. At a
/// round trip of 200 ms, 64 threads carry 300 questions a second; with 24 threads, questions of a
/// burst waited 1.2 s.
const POLICY_THREADS: usize = 64;
/// Stack size of the threads of the placer, in bytes; small, since they do not recurse.
const STACK_BYTES: usize = 256 * 1024;

/// Returns the client for calls to another host.
pub type FindPeer = Arc<dyn Fn(&HostId) -> PeerClient + Send + Sync>;

/// The placer on one storage host; inactive while the host does not lead the workflow log.
pub struct Placer {
    settings: PlacerSettings,
    clock: Clock,
    replica: Arc<Replica<()>>,
    committed: Committed,
    outside: OutsideCalls,
    find_peer: FindPeer,
    call_limits: CallLimits,
    heartbeats: Mutex<HeartbeatRecords>,
    send: SendInstructions,
    relay_senders: Mutex<RelaySenders>,
    term: TermLock,
    /// Epoch of the last term that this host began.
    last_epoch: Mutex<Option<Epoch>>,
    statistics: Arc<PlacerStatistics>,
    job_counts: JobCounts,
    /// Wakes the dispatcher to send pending orders; holds at most one request.
    wake_dispatcher: Sender<()>,
    questions: Sender<policy::Question>,
    /// Wakes the scheduler for a pass; holds at most one request.
    wake_scheduler: Sender<()>,
}

/// Current time of a step on both clocks.
#[derive(Clone, Copy, Debug)]
struct Now {
    /// Monotonic clock.
    at: Instant,
    /// Wall clock, in milliseconds since the Unix epoch.
    unix_ms: u64,
}

/// Queues of work for the threads of a placer.
struct WorkQueues {
    committed_batches: Receiver<(Epoch, u64)>,
    dispatches: Receiver<()>,
    questions: Receiver<policy::Question>,
    passes: Receiver<()>,
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
        let (placer, queues) = Self::new(
            settings, clock, replica, committed, outside, find_peer, send,
        );
        placer.spawn_threads(queues);
        placer
    }

    /// Creates a placer without threads.
    fn new(
        settings: PlacerSettings,
        clock: Clock,
        replica: Arc<Replica<()>>,
        committed: Committed,
        outside: OutsideCalls,
        find_peer: FindPeer,
        send: SendInstructions,
    ) -> (Arc<Self>, WorkQueues) {
        let (wake_dispatcher, dispatches) = bounded(1);
        let (questions, question_queue) = unbounded();
        let (wake_scheduler, passes) = bounded(1);
        let committed_batches = committed.notices.clone();
        let statistics = Arc::<PlacerStatistics>::default();
        let placer = Arc::new(Self {
            settings,
            clock,
            replica,
            committed,
            outside,
            find_peer,
            call_limits: CallLimits::default(),
            heartbeats: Mutex::default(),
            send,
            relay_senders: Mutex::default(),
            term: TermLock::new(Arc::clone(&statistics)),
            last_epoch: Mutex::default(),
            statistics,
            job_counts: JobCounts::default(),
            wake_dispatcher,
            questions,
            wake_scheduler,
        });
        let queues = WorkQueues {
            committed_batches,
            dispatches,
            questions: question_queue,
            passes,
        };
        (placer, queues)
    }

    fn spawn_threads(self: &Arc<Self>, queues: WorkQueues) {
        let WorkQueues {
            committed_batches,
            dispatches,
            questions,
            passes,
        } = queues;
        self.spawn(Activity::Effects, move |placer| {
            placer.run_effects(&committed_batches);
        });
        self.spawn(Activity::Pass, move |placer| {
            placer.run_scheduler(&passes);
        });
        self.spawn(Activity::Tick, Self::run_timer);
        self.spawn(Activity::Membership, Self::run_membership);
        self.spawn(Activity::Call, |placer| placer.run_reports());
        self.spawn(Activity::Order, move |placer| {
            placer.run_dispatcher(&dispatches);
        });
        for _ in 0..POLICY_THREADS {
            let queue = questions.clone();
            self.spawn(Activity::Policy, move |placer| placer.run_questions(&queue));
        }
    }

    /// Starts a thread that runs `run` again after a panic, until it returns.
    fn spawn(self: &Arc<Self>, activity: Activity, run: impl Fn(&Arc<Self>) + Send + 'static) {
        let placer = Arc::clone(self);
        let name = activity.label();
        let spawned = thread::Builder::new()
            .name(format!("placer-{name}"))
            .stack_size(STACK_BYTES)
            .spawn(move || {
                processor_time::begin(activity);
                while catch_unwind(AssertUnwindSafe(|| run(&placer))).is_err() {
                    log::error!(thread = name; "a placer thread panicked and continues");
                    thread::sleep(TICK_INTERVAL);
                }
            });
        if let Err(error) = spawned {
            log::error!(thread = name; "failed to start a placer thread: {error}");
        }
    }

    fn lock(&self) -> TermGuard<'_> {
        self.term.lock()
    }

    /// Ends the term because its records could not be appended.
    fn stop_placing(&self, guard: &mut TermGuard<'_>, reason: &str) {
        let Some(term) = guard.take() else {
            return;
        };
        self.statistics.record_term(None);
        self.log_term_end(
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

    /// Runs a step of the current term and appends the records that it made. Returns `None` when
    /// there is no term, when its epoch differs from the given one, or when the append failed.
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
        let now = self.now();
        let result = step(term, now);
        if let Err(reason) = self.flush(term, now) {
            self.stop_placing(&mut guard, &reason);
            return None;
        }
        let is_pass_due = term.is_pass_due();
        drop(guard);
        self.request_pass(is_pass_due);
        Some(result)
    }

    /// Appends the pending records to the log, or executes the pending effects immediately when
    /// nothing has to be committed before them.
    fn flush(&self, term: &mut Term, now: Now) -> Result<(), String> {
        match term.finish_step() {
            StepOutput::Effects(effects) => {
                // No commit shows that the term has not been replaced, as it may be while the process
                // is paused.
                let replies = effects
                    .iter()
                    .any(|effect| matches!(effect, Effect::Reply(..)));
                if replies && self.replica.leadership() != Some(term.epoch) {
                    return Err("the leadership has ended".to_owned());
                }
                self.execute(term, effects);
                Ok(())
            }
            StepOutput::Batch(batch) => {
                let command = postcard::to_stdvec(&batch).map_err(|error| error.to_string())?;
                self.statistics.record_appended(batch.sequence, now.at);
                let appended = self.replica.append(term.epoch, command);
                appended.map_err(|error| error.to_string())
            }
        }
    }

    fn run_effects(&self, notices: &Receiver<(Epoch, u64)>) {
        for (epoch, sequence) in notices {
            self.execute_committed(epoch, sequence);
        }
    }

    /// Executes the effects of the batches of an epoch up to the committed one.
    fn execute_committed(&self, epoch: Epoch, sequence: u64) {
        let mut guard = self.lock();
        let Some(term) = guard.as_mut().filter(|term| term.epoch == epoch) else {
            return;
        };
        self.statistics.record_committed(sequence, self.clock.now());
        let effects = term.take_committed_effects(sequence);
        self.execute(term, effects);
        let is_pass_due = term.is_pass_due();
        drop(guard);
        self.request_pass(is_pass_due);
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
                } => term.record_committed_ends(&worker, incarnation, through),
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
                .filter(|term| term.ready && term.is_pass_due());
            let Some(term) = due else {
                continue;
            };
            let now = self.now();
            let questions = term.schedule(now);
            let took = self.clock.now().saturating_duration_since(now.at);
            let examined = term.passes.examined_since_report();
            self.statistics.record_pass(took, &examined);
            if let Err(reason) = self.flush(term, now) {
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
            let last_epoch = self.last_epoch.lock();
            self.update_leadership(&mut last_epoch.unwrap_or_else(PoisonError::into_inner));
            if self.clock.now() >= next_tick_at {
                self.record_leader_contact();
                next_tick_at = self.clock.now() + TICK_INTERVAL;
                self.with_term(None, Term::tick);
            }
            thread::sleep(LEADERSHIP_INTERVAL);
        }
    }

    /// Ends the current term and begins a new one when the leadership has changed. `last_epoch` is
    /// the epoch of the latest term of this host; no second term begins in it, since relays and
    /// workers tell terms apart by their epochs.
    fn update_leadership(&self, last_epoch: &mut Option<Epoch>) {
        let epoch = self.replica.leadership();
        let mut guard = self.lock();
        let current = guard.as_ref().map(|term| term.epoch);
        if current == epoch {
            return;
        }
        *guard = None;
        self.statistics.record_term(epoch);
        if let Some(ended) = current {
            self.log_term_end(ended, guard.waited, "no longer leads the workflow log");
        }
        let Some(epoch) = epoch else {
            return;
        };
        if *last_epoch == Some(epoch) {
            log::info!(epoch; "resigns: the term of this epoch has ended");
            self.replica.resign(epoch);
            return;
        }
        let state = self.committed.state.lock().unwrap().clone();
        let now = self.now();
        let mut term = Term::begin(epoch, state, self.settings.clone(), now);
        term.expect_heartbeats(self.recorded_leader_contact(), now);
        match self.flush(&mut term, now) {
            Ok(()) => {
                *guard = Some(term);
                *last_epoch = Some(epoch);
            }
            Err(reason) => {
                self.statistics.record_term(None);
                log::warn!(epoch; "cannot take over: {reason}");
            }
        }
    }
}
