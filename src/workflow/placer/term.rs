//! What the placer holds while it leads.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::super::calls::{HostContact, Reply};
use super::super::decisions::leases::{ClockReading, expires_without_reading};
use super::super::decisions::permits::{GrantedShare, PermitCache};
use super::super::decisions::progress::Progress;
use super::super::decisions::worker_health::WorkerHealth;
use super::super::records::{Batch, Record, RunNumber};
use super::super::spec::{StageKey, TaskIndex, TaskKey};
use super::super::state::WorkflowState;
use super::super::workers::WorkerRecord;
use super::backlog::WaitingWork;
use super::passes::Passes;
use super::search::{EmptySearch, StageNeeds};
use super::{CallResponder, PlacerSettings};
use crate::ids::{Epoch, HostId, JobId, ServiceName, WorkerId};
use crate::scheduling::ledger::{Ledger, WorkerIndex};

/// State of a leader. It runs ahead of the log: records are applied to `state` when they are
/// appended, and whatever others can see of them waits in `effects` until they are committed. A
/// leader that fails to commit drops the whole term.
pub struct Term {
    /// Fencing token of this leader.
    pub epoch: Epoch,
    /// Settings.
    pub settings: PlacerSettings,
    /// When it began to lead. Earlier leaders have granted no lease after this time.
    pub began_at: Instant,
    /// Whether its take-over is committed.
    pub ready: bool,
    /// Committed state and the records that are on their way.
    pub state: WorkflowState,
    /// Records that are not appended yet.
    pub records: Vec<Record>,
    /// Effects that wait for `records`.
    pub effects: Vec<Effect>,
    /// Whether the effects wait for a commit even without records.
    pub needs_commit: bool,
    /// Number of the next batch.
    pub next_sequence: u64,
    /// Effects of batches that are not committed yet, by sequence number.
    pub uncommitted: VecDeque<(u64, Vec<Effect>)>,
    /// Capacity and allocations.
    pub ledger: Ledger,
    /// Services by the number of their pool in the ledger.
    pub pools: IndexSet<ServiceName>,
    /// Workers.
    pub workers: IndexMap<WorkerId, LiveWorker>,
    /// Stages whose dependencies are met and that are not complete.
    pub stages: IndexMap<StageKey, LiveStage>,
    /// Jobs with a repetition: all that are open, and those that ended since the last tick.
    pub repeated_jobs: IndexSet<JobId>,
    /// Runs that may exist on a worker.
    pub runs: IndexMap<TaskKey, LiveRun>,
    /// Work of the waiting tasks of `stages`.
    pub waiting_work: WaitingWork,
    /// What has changed since the last scheduling pass.
    pub passes: Passes,
    /// Waiting gangs that were late in the last scheduling pass.
    pub late_gangs: usize,
    /// Learned share of workers that the policy of a queue allows.
    pub good_shares: IndexMap<String, GrantedShare>,
    /// Hosts that can call the placement policy.
    pub policy_callers: IndexMap<HostId, PolicyCaller>,
    /// Questions that are on their way; never more than there are threads for them.
    pub open_questions: usize,
    /// Runs that a worker lists and nobody wants, with the time of the last order to stop them.
    pub stray_stops: IndexMap<(TaskKey, RunNumber), Instant>,
    /// Number of time-driven steps.
    pub ticks: u64,
    /// Whether runs of earlier terms were compared with the workers that are known.
    pub adopted_checked: bool,
    /// Committed orders that are not sent to a relay yet.
    pub pending_orders: Vec<Order>,
    /// Workers whose relay needs a new grant before the regular one.
    pub due_grants: IndexSet<WorkerId>,
}

/// What becomes visible to others once a batch is committed.
pub enum Effect {
    /// Answers a call.
    Reply(CallResponder, Reply),
    /// Answers with the committed configuration.
    ReplyQueues(CallResponder),
    /// Sends an order to a worker.
    Order(Order),
    /// Ends up to a number are recorded; the worker's link may acknowledge them.
    EndsRecorded {
        /// Worker.
        worker: WorkerId,
        /// Its incarnation.
        incarnation: u64,
        /// Last recorded end.
        through: u64,
    },
    /// The take-over is committed.
    TakenOver,
}

/// An order on its way to a worker.
#[derive(Clone, Debug)]
pub struct Order {
    /// Epoch that gave it.
    pub epoch: Epoch,
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Worker.
    pub worker: WorkerId,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// Kind of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Starts the run, with a permit where the queue has a policy.
    Start {
        /// Permit of the placement policy.
        permit: Option<String>,
    },
    /// Stops the run.
    Stop,
}

/// A worker as this leader sees it.
pub struct LiveWorker {
    /// Position in the ledger.
    pub index: WorkerIndex,
    /// Latest record.
    pub record: WorkerRecord,
    /// Highest heartbeat number of this incarnation.
    pub heartbeat_sequence: u64,
    /// Latest reading of its clock.
    pub clock: Option<ClockReading>,
    /// Latest end of a lease that may have reached it, on its own clock.
    pub granted_until_clock_ms: u64,
    /// Whether it answered the latest renewal.
    pub reachable: bool,
    /// When it failed to answer for the first time since its last answer.
    pub silent_since: Option<Instant>,
    /// Last end that was processed.
    pub seen_ends: u64,
    /// Last end that is recorded in the log.
    pub recorded_ends: u64,
    /// Runs that may exist on it.
    pub runs: IndexSet<TaskKey>,
    /// What the ends of its runs say about it.
    pub health: WorkerHealth,
    /// Whether it said that it leaves; it is gone once its port is closed.
    pub leaving: bool,
    /// Host that relays orders to it.
    pub relay: Option<HostId>,
    /// When its present relay began.
    pub relayed_since: Instant,
    /// Former relay that could not reach it.
    pub avoided_relay: Option<HostId>,
}

impl LiveWorker {
    /// Time after which nothing that was started before runs there any more, unless its lease is
    /// renewed.
    pub fn lapses_at(&self, term_began_at: Instant, max_lease: Duration) -> Instant {
        // An earlier leader may have granted more than this one has.
        let earlier = expires_without_reading(term_began_at, max_lease);
        match &self.clock {
            Some(reading) => reading.expires_at(self.granted_until_clock_ms).max(earlier),
            None => earlier,
        }
    }
}

/// A stage that has tasks to run.
pub struct LiveStage {
    /// What a search needs to know of it.
    pub needs: StageNeeds,
    /// Whether a scheduling pass found that its job is too late to count, which does not change.
    pub too_late: bool,
    /// The last search, when it found nothing.
    pub empty_search: Option<EmptySearch>,
    /// Earliest time of the next look for workers that a gang does not know.
    pub look_again_at: Instant,
    /// Tasks that need a run.
    pub waiting: Vec<TaskIndex>,
    /// Answers of the placement policy.
    pub permits: PermitCache,
    /// Whether a question to the policy is on its way.
    pub asking: bool,
    /// Tasks for which room is held on workers: until the policy answers, or until a gang has room
    /// for all members.
    pub holds: IndexMap<WorkerId, usize>,
    /// Earliest time of the next question after a failed one.
    pub ask_again_at: Instant,
    /// When the job, or the occurrence, was due.
    pub due_at: Instant,
    /// Time that the job may take from then on.
    pub objective: Duration,
    /// Declared run time of this stage and the longest chain behind it.
    pub remaining: Duration,
}

impl LiveStage {
    /// Whether all tasks wait; until then a gang can't be placed.
    pub fn is_whole(&self) -> bool {
        self.waiting.len() >= self.needs.task_count
    }
}

/// A run that may exist on a worker.
pub struct LiveRun {
    /// Number.
    pub run: RunNumber,
    /// Worker.
    pub worker: WorkerId,
    /// What is known of it.
    pub phase: RunPhase,
    /// Whether the worker has listed it or confirmed its start in this term.
    pub seen: bool,
    /// Progress that its worker reports, once it has.
    pub progress: Option<Progress>,
    /// When it was placed, or adopted from an earlier leader.
    pub placed_at: Instant,
    /// Permit with which it is started; `None` without a policy and once the start is answered.
    pub permit: Option<String>,
    /// When its start order was sent last.
    pub start_sent_at: Option<Instant>,
    /// When it is stopped without an outcome of its start orders.
    pub give_up_at: Option<Instant>,
    /// How often its start order was sent.
    pub starts_sent: u32,
}

impl LiveRun {
    /// A run that its worker has not listed yet.
    pub fn new(run: RunNumber, worker: WorkerId, phase: RunPhase, now: Instant) -> Self {
        Self {
            run,
            worker,
            phase,
            seen: false,
            progress: None,
            placed_at: now,
            permit: None,
            start_sent_at: None,
            give_up_at: None,
            starts_sent: 0,
        }
    }

    /// Takes note that the worker has listed the run or confirmed its start.
    pub fn confirm(&mut self, now: Instant) {
        self.seen = true;
        if matches!(self.phase, RunPhase::Unresolved | RunPhase::Starting) {
            self.phase = RunPhase::Running { confirmed_at: now };
        }
    }
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunPhase {
    /// Placed by an earlier leader; the worker's lists will tell.
    Unresolved,
    /// Its start order is on its way.
    Starting,
    /// The worker has confirmed it.
    Running {
        /// When the confirmation arrived.
        confirmed_at: Instant,
    },
    /// It has to end.
    Stopping {
        /// When the worker confirmed the stop order.
        confirmed_at: Option<Instant>,
        /// When the latest stop order was given.
        ordered_at: Instant,
    },
}

/// A host that can call the placement policy, which serves one call at a time for each host.
pub struct PolicyCaller {
    /// What the host said of itself.
    pub contact: HostContact,
    /// When it was heard from.
    pub heard_at: Instant,
    /// When its present calls are expected to be answered.
    pub busy_until: Instant,
    /// It relays nothing until then, since instructions did not reach it.
    pub relays_from: Instant,
    /// Time that an answer takes beyond the decision itself.
    pub trip: Duration,
}

/// What a step left to do.
pub enum Sealed {
    /// To be appended to the log.
    Batch(Batch),
    /// To be executed at once: nothing has to be committed before.
    Effects(Vec<Effect>),
}

impl Term {
    /// Ends a step. Effects never overtake those of earlier steps: what they tell may rest on
    /// records that are not committed yet.
    pub fn seal(&mut self) -> Sealed {
        let effects = std::mem::take(&mut self.effects);
        if self.records.is_empty() && !self.needs_commit {
            let Some((_, waiting)) = self.uncommitted.back_mut() else {
                return Sealed::Effects(effects);
            };
            waiting.extend(effects);
            return Sealed::Effects(Vec::new());
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.needs_commit = false;
        self.uncommitted.push_back((sequence, effects));
        Sealed::Batch(Batch {
            epoch: self.epoch,
            sequence,
            records: std::mem::take(&mut self.records),
        })
    }

    /// Effects that may be executed once the batch with this number is committed.
    pub fn committed(&mut self, sequence: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((first, _)) = self.uncommitted.front() {
            if *first > sequence {
                break;
            }
            if let Some((_, more)) = self.uncommitted.pop_front() {
                effects.extend(more);
            }
        }
        effects
    }

    /// Appends a record and applies it to the state ahead of its commit.
    pub fn record(&mut self, record: Record) {
        self.state.apply_record(record.clone());
        self.records.push(record);
    }
}
