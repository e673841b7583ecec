//! State of the placer for one term of leadership.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::super::calls::{HostContact, Reply};
use super::super::decisions::leases::ClockReading;
use super::super::decisions::permits::{GrantedShare, PermitCache};
use super::super::decisions::place_waits::Demand;
use super::super::decisions::progress::Progress;
use super::super::decisions::question_shares::QuestionShares;
use super::super::decisions::size_shares::SizeShares;
use super::super::decisions::worker_health::{Restriction, WorkerHealth};
use super::super::decisions::worker_speed::WorkerSpeed;
use super::super::records::{Batch, Record, RunNumber};
use super::super::spec::{StageKey, TaskIndex, TaskKey};
use super::super::state::WorkflowState;
use super::super::workers::WorkerRecord;
use super::backlog::WaitingWork;
use super::claims::Claim;
use super::crashes::CrashWatch;
use super::customers::{Charge, LiveCustomers};
use super::given_up_runs::GivenUpRun;
use super::growth::GrantedWorkers;
use super::passes::Passes;
use super::place_waits::PlaceWait;
use super::search::{EmptySearch, StageNeeds};
use super::{CallResponder, PlacerSettings};
use crate::ids::{Epoch, Generation, HostId, Incarnation, JobId, ServiceName, WorkerId};
use crate::scheduling::ledger::{Ledger, WorkerIndex};

/// Run time relative to the declared one that a wrong declaration explains.
const DECLARATION_ERROR: f64 = 2.0;

/// State of the placer while it leads. It is ahead of the committed log: records are applied to
/// `state` when they are appended, and everything that others can observe of them waits in
/// `effects` until they are committed. A leader that fails to commit drops the whole term.
pub struct Term {
    /// Fencing token of this leader.
    pub epoch: Epoch,
    /// Settings of the placer of this host.
    pub settings: PlacerSettings,
    /// Start of the term. Earlier leaders have granted no lease after this time.
    pub began_at: Instant,
    /// Whether the take-over is committed; until then nothing is scheduled.
    pub ready: bool,
    /// Committed state with the records that are not committed yet applied to it.
    pub state: WorkflowState,
    /// Records that are not appended yet.
    pub records: Vec<Record>,
    /// Effects that wait for `records`.
    pub effects: Vec<Effect>,
    /// Whether the effects wait for a commit even without records.
    pub needs_commit: bool,
    /// Sequence number of the next batch.
    pub next_sequence: u64,
    /// Effects of batches that are not committed yet, by sequence number.
    pub uncommitted: VecDeque<(u64, Vec<Effect>)>,
    /// Capacity of the workers, and the allocations on them.
    pub ledger: Ledger,
    /// Services; the position of each is the index of its pool in the ledger.
    pub pools: IndexSet<ServiceName>,
    /// Workers that are registered, whether they are reachable or not.
    pub workers: IndexMap<WorkerId, LiveWorker>,
    /// Generation of the next incarnation of each worker that restarted or was removed in this term.
    pub next_generations: IndexMap<WorkerId, Generation>,
    /// Stages whose dependencies are met and that are not complete.
    pub stages: IndexMap<StageKey, LiveStage>,
    /// Repeated jobs that are open, and those that ended since the last tick.
    pub repeated_jobs: IndexSet<JobId>,
    /// Runs that may exist on a worker.
    pub runs: IndexMap<TaskKey, LiveRun>,
    /// Customers with what they have running and waiting.
    pub customers: LiveCustomers,
    /// Stages of `stages` that wait for a better place, those that wait longest first. Entries are
    /// inserted at the end and removed with `shift_remove`.
    pub place_waits: IndexMap<StageKey, PlaceWait>,
    /// Tasks that recently started and named a rack, by rack; those of gangs that prefer any one rack
    /// under an empty name. Holds at most `MAX_DEMANDED_RACKS` entries.
    pub place_demand: IndexMap<String, Demand>,
    /// Sums over the waiting tasks of `stages`.
    pub waiting_work: WaitingWork,
    /// Changes since the last scheduling pass, and counters of the passes.
    pub passes: Passes,
    /// Whether gangs are served newest first, since too many of them are late.
    pub newest_gangs_first: bool,
    /// Outcomes of gangs by size.
    pub size_shares: SizeShares,
    /// Observed share of workers that the placement policy grants, by queue.
    pub good_shares: IndexMap<String, GrantedShare>,
    /// Hosts in contact with the placer, which can call the placement policy and relay orders.
    pub policy_callers: IndexMap<HostId, PolicyCaller>,
    /// Questions to the placement policy in flight.
    pub questions: QuestionShares,
    /// Runs that a worker lists although the state has no such run, with the time of the last order
    /// to stop them.
    pub unexpected_run_stops: IndexMap<(TaskKey, RunNumber), Instant>,
    /// Number of time-driven steps of this term.
    pub ticks: u64,
    /// Whether runs of earlier terms without their worker were ended.
    pub adopted_runs_checked: bool,
    /// Lost workers, and workers that are kept for suspects.
    pub crash_watch: CrashWatch,
    /// Committed orders that are not queued for a relay yet.
    pub pending_orders: Vec<Order>,
    /// Workers whose relay has to receive a new grant with the next instructions.
    pub due_grants: IndexSet<WorkerId>,
}

/// An action that others can observe, executed once its batch is committed.
pub enum Effect {
    /// Answers a call.
    Reply(CallResponder, Reply),
    /// Answers with the committed configuration.
    ReplyQueues(CallResponder),
    /// Sends an order to a worker.
    Order(Order),
    /// Ends of runs are committed, so that the relay may acknowledge them to the worker.
    EndsRecorded {
        /// Worker that listed the ends.
        worker: WorkerId,
        /// Incarnation of the worker that listed the ends.
        incarnation: u64,
        /// Number of the last committed end.
        through: u64,
    },
    /// The take-over is committed.
    TakenOver,
}

/// An order to a worker to start or stop a run.
#[derive(Clone, Debug)]
pub struct Order {
    /// Epoch of the term that issued the order, which is its fencing token.
    pub epoch: Epoch,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run among the runs of the task.
    pub run: RunNumber,
    /// Worker that receives the order.
    pub worker: WorkerId,
    /// Incarnation of the worker; the order is dropped when another one is registered.
    pub incarnation: u64,
    /// Whether the run is started or stopped.
    pub kind: OrderKind,
}

/// Action that an order requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Starts the run.
    Start {
        /// Permit of the placement policy; `None` when the queue has no policy.
        permit: Option<String>,
    },
    /// Stops the run, or prevents a later start of it.
    Stop,
}

/// State of a registered worker in this term.
pub struct LiveWorker {
    /// Index of the worker in the ledger.
    pub index: WorkerIndex,
    /// Latest record that the worker announced.
    pub record: WorkerRecord,
    /// Part of the fencing token; grows with each incarnation that is known in this term, and when
    /// calls with the token may be carried out together with later ones.
    pub generation: Generation,
    /// Highest sequence number of a heartbeat of this incarnation.
    pub heartbeat_sequence: u64,
    /// Latest reading of the clock of the worker; `None` until its first answer in this term.
    pub clock: Option<ClockReading>,
    /// Latest end of a lease that this placer granted to the incarnation, on the clock of the worker.
    pub granted_until_clock_ms: u64,
    /// Latest end of a lease that the worker may have received before its first answer in this term,
    /// by calls of an earlier placer or for a former incarnation; zero until then.
    pub unknown_until_clock_ms: u64,
    /// Time at which the incarnation became known in this term. Earlier calls were for a former
    /// incarnation or of an earlier placer.
    pub known_since: Instant,
    /// Whether the worker answered the latest renewal of its lease.
    pub reachable: bool,
    /// Time of the first renewal without an answer since the last answer; `None` while it answers.
    pub unresponsive_since: Option<Instant>,
    /// Number of the last end of a run that was processed.
    pub seen_ends: u64,
    /// Number of the last end of a run that is committed.
    pub recorded_ends: u64,
    /// Time until which no end is acknowledged, since start orders of another relay or of an earlier
    /// placer may be carried out.
    pub acknowledges_from: Instant,
    /// Whether the next start order needs a higher token, since the relay has changed.
    pub start_raises_token: bool,
    /// Time until which a start order of a run that has ended may be carried out; `None` if all were
    /// answered.
    pub ended_starts_open_until: Option<Instant>,
    /// Tasks whose runs may exist on the worker.
    pub runs: IndexSet<TaskKey>,
    /// Health of the worker, derived from the ends and the progress of its runs.
    pub health: WorkerHealth,
    /// Speed of the incarnation, derived from completed stages in this term.
    pub speed: WorkerSpeed,
    /// Restriction of new runs by the health of the worker at the last tick.
    pub restriction: Restriction,
    /// Time until which the worker is expected to leave, since a call announced its departure; it is
    /// removed once its port is closed. `None` if no departure was announced.
    pub leaving_until: Option<Instant>,
    /// Whether another process has answered at the address since the last answer of the worker.
    pub ended: bool,
    /// Heartbeat of another incarnation, until it is known which one runs.
    pub claim: Option<Claim>,
    /// Host that relays orders to the worker; `None` until one is assigned.
    pub relay: Option<HostId>,
    /// Time at which the current relay was assigned.
    pub relayed_since: Instant,
    /// Steps of the assignment of relays since the relay last reported on the worker. Steps do not
    /// count a time in which this process was paused, as the reports then wait.
    pub steps_without_report: u32,
    /// Former relays that could not reach the worker; empty once the worker answers.
    pub failed_relays: IndexSet<HostId>,
}

impl LiveWorker {
    /// Whether the worker can be reached and is not about to leave.
    pub fn is_in_service(&self) -> bool {
        self.reachable && !self.record.draining
    }

    /// Expected run time relative to other workers, at least 1.
    pub fn slowness(&self) -> f64 {
        // Declared run times are far off. Where run times were compared, what deviates from a
        // declaration by less than a factor of two says nothing.
        let by_declaration = self.health.slowness();
        if self.speed.is_known() && by_declaration <= DECLARATION_ERROR {
            return self.speed.slowness();
        }
        by_declaration
    }

    /// Returns how many milliseconds ago the clock of the worker was read; `None` if it is not known.
    pub fn clock_age_ms(&self, now: Instant) -> Option<u64> {
        let read_at = self.clock?.received_at;
        Some(now.saturating_duration_since(read_at).as_millis() as u64)
    }
}

/// State of a stage whose dependencies are met.
pub struct LiveStage {
    /// Requirements of the stage in a search for workers.
    pub needs: StageNeeds,
    /// Whether a scheduling pass found the job too late to count in the backlog; never reset.
    pub too_late: bool,
    /// Whether a line of the log has said that the cap of the customer holds the stage back.
    pub logged_as_held: bool,
    /// Last search for workers, if it found none.
    pub empty_search: Option<EmptySearch>,
    /// Earliest time at which a gang searches again for workers about which it has not asked yet.
    pub next_worker_search_at: Instant,
    /// Tasks that wait for a run.
    pub waiting: Vec<TaskIndex>,
    /// The latest runs that were given up: their workers may still list them as done.
    pub given_up: VecDeque<GivenUpRun>,
    /// Workers on which tasks succeeded in their first run, with the run times in milliseconds; none
    /// for a gang, whose members all end with the slowest.
    pub run_times_ms: Vec<(WorkerId, u64)>,
    /// Answers of the placement policy about workers.
    pub permits: PermitCache,
    /// Workers that were granted, derived from `permits`.
    pub granted_workers: GrantedWorkers,
    /// Questions to the placement policy in flight, about different workers.
    pub open_questions: usize,
    /// Workers that restarted while a question was in flight; its answer says nothing about them.
    pub restarted_workers: IndexSet<WorkerId>,
    /// Number of tasks for which room is reserved, by worker: until the policy answers, or until a
    /// gang has room for all members.
    pub reservations: IndexMap<WorkerId, usize>,
    /// Time since which the stage, a gang, gathers room; `None` if it does not.
    pub gathers_since: Option<Instant>,
    /// Workers with reserved room whose permits are being renewed, with the expected time of the
    /// answer. The room is kept until then.
    pub renewing: IndexMap<WorkerId, Instant>,
    /// Whether there are further permits to renew for which no host was free.
    pub renewal_is_incomplete: bool,
    /// Whether the workers that a gang may use could not hold all members at the last check.
    pub lacks_capacity: bool,
    /// Earliest time at which a gang that gave its room back gathers room again.
    pub next_gathering_at: Instant,
    /// Time since which a gang has had reserved room for all members; `None` while it has not.
    pub room_whole_since: Option<Instant>,
    /// Questions that renewed permits for reserved room since the stage, a gang, last started to wait.
    pub renewals: u32,
    /// Earliest time of the next question after one without an answer.
    pub next_question_at: Instant,
    /// Time at which the job was accepted, or at which this occurrence of a repeated job was due.
    pub due_at: Instant,
    /// Time after `due_at` within which the job should complete.
    pub objective: Duration,
    /// Expected run time of this stage and of the longest chain of stages that depends on it.
    pub remaining: Duration,
}

impl LiveStage {
    /// Whether all tasks wait; a gang is placed only then.
    pub fn all_tasks_wait(&self) -> bool {
        self.waiting.len() >= self.needs.task_count
    }
}

/// A run that may exist on a worker.
pub struct LiveRun {
    /// Number of the run among the runs of its task.
    pub run: RunNumber,
    /// Worker on which the run was placed.
    pub worker: WorkerId,
    /// Incarnation of the worker on which the run was placed, or that has listed it.
    pub incarnation: Incarnation,
    /// Phase as known to the placer.
    pub phase: RunPhase,
    /// Whether the worker has listed it or confirmed its start in this term.
    pub confirmed: bool,
    /// Whether the worker listed it for so long that a crash of the worker is not attributed to it.
    pub harmless: bool,
    /// Progress that the worker reported; `None` until the first report.
    pub progress: Option<Progress>,
    /// Time at which the run was placed, or adopted from an earlier leader.
    pub placed_at: Instant,
    /// What the run counts against the cap of its customer; `None` if its job has no customer.
    pub charge: Option<Charge>,
    /// Permit of the start order; `None` when the queue has no placement policy, and for a run that
    /// was adopted from an earlier leader.
    pub permit: Option<String>,
    /// Whether the start order names a permit, which was issued before `placed_at`.
    pub has_permit: bool,
    /// Time at which the start order was last sent, or before which an earlier leader sent it; `None`
    /// before.
    pub start_sent_at: Option<Instant>,
    /// Time at which the run is stopped if no start order has an outcome; `None` before the first.
    pub give_up_at: Option<Instant>,
    /// Number of times the start order was sent.
    pub starts_sent: u32,
    /// Whether no later incarnation of the worker can carry out the start order: the known one has
    /// answered its only copy, or its permit is for that one or an earlier one.
    pub start_is_settled: bool,
    /// Time at which the only copy of the start order, without a permit, was answered by an incarnation
    /// that is not certainly the known one.
    pub start_answered_at: Option<Instant>,
    /// Whether a line of the log has said that a copy of the start order may still be carried out.
    pub logged_as_open: bool,
}

impl LiveRun {
    /// Creates a run that the worker has not listed yet.
    pub fn new(
        run: RunNumber,
        (worker, incarnation): (WorkerId, Incarnation),
        phase: RunPhase,
        now: Instant,
    ) -> Self {
        Self {
            run,
            worker,
            incarnation,
            phase,
            confirmed: false,
            harmless: false,
            progress: None,
            placed_at: now,
            charge: None,
            permit: None,
            has_permit: false,
            start_sent_at: None,
            give_up_at: None,
            starts_sent: 0,
            start_is_settled: false,
            start_answered_at: None,
            logged_as_open: false,
        }
    }

    /// Returns when the worker first listed the run or confirmed its start in this term; `None` before
    /// and once the run is being stopped.
    pub fn confirmed_at(&self) -> Option<Instant> {
        match self.phase {
            RunPhase::Running { confirmed_at } => Some(confirmed_at),
            _ => None,
        }
    }

    /// Whether no start order for the run has left this host.
    pub fn was_never_sent(&self) -> bool {
        self.phase == RunPhase::Starting && self.start_sent_at.is_none()
    }

    /// Records that the worker listed the run or confirmed its start.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed = true;
        // One copy of the order of an earlier leader was carried out. To allow for further ones, all
        // runs of a worker that is lost soon after a takeover would wait for late calls.
        if self.phase == RunPhase::Unresolved && self.starts_sent == 0 {
            self.start_is_settled = true;
        }
        if matches!(self.phase, RunPhase::Unresolved | RunPhase::Starting) {
            self.phase = RunPhase::Running { confirmed_at: now };
        }
    }
}

/// Phase of a run as known to the placer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunPhase {
    /// Placed by an earlier leader or on a former incarnation of the worker; the next report of the
    /// worker shows whether it runs.
    Unresolved,
    /// The start order is pending or has no outcome yet.
    Starting,
    /// The worker has listed the run or confirmed its start.
    Running {
        /// Time at which the confirmation arrived.
        confirmed_at: Instant,
    },
    /// The run has to be stopped.
    Stopping {
        /// Time at which the worker confirmed the stop order; `None` before.
        confirmed_at: Option<Instant>,
        /// Time at which the latest stop order was issued.
        ordered_at: Instant,
    },
}

/// A host in contact with the placer. It can relay orders and call the placement policy, which
/// serves one call at a time for each host.
pub struct PolicyCaller {
    /// Latest contact message of the host.
    pub contact: HostContact,
    /// Time of the latest contact message.
    pub last_contact_at: Instant,
    /// Time at which all policy calls of the host are expected to be answered.
    pub busy_until: Instant,
    /// Time until which the host relays nothing, since instructions did not reach it.
    pub relaying_paused_until: Instant,
    /// Average time that an answer takes beyond the decision of the policy itself.
    pub round_trip: Duration,
}

/// Result of a step of the term.
pub enum StepOutput {
    /// A batch to append to the log; its effects wait for the commit.
    Batch(Batch),
    /// Effects to execute immediately, since nothing has to be committed before them.
    Effects(Vec<Effect>),
}

impl Term {
    /// Ends a step and returns its batch or effects. Effects of a step without records wait for the
    /// batches of earlier steps, since they may depend on records that are not committed yet.
    pub fn finish_step(&mut self) -> StepOutput {
        let effects = std::mem::take(&mut self.effects);
        if self.records.is_empty() && !self.needs_commit {
            let Some((_, waiting)) = self.uncommitted.back_mut() else {
                return StepOutput::Effects(effects);
            };
            waiting.extend(effects);
            return StepOutput::Effects(Vec::new());
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.needs_commit = false;
        self.uncommitted.push_back((sequence, effects));
        StepOutput::Batch(Batch {
            epoch: self.epoch,
            sequence,
            records: std::mem::take(&mut self.records),
        })
    }

    /// Returns the effects of all batches up to the committed one.
    pub fn take_committed_effects(&mut self, sequence: u64) -> Vec<Effect> {
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

    /// Adds a record to the current step and applies it to the state ahead of its commit.
    pub fn record(&mut self, record: Record) {
        self.state.apply_record(record.clone());
        self.records.push(record);
    }
}
