//! Resolves tasks that have no owner: those of former placers, and those whose caller's deadline
//! has passed. One thread for each runner with such tasks.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use hyper::Method;

use super::dispatch::lapsed;
use super::flight::{Flight, FlightEnd};
use super::links::RunnerLink;
use super::runners::health::Execution;
use super::runners::{Fate, RunnerSlot};
use super::task_calls::{self, MAX_DAMAGED_ANSWERS, Reply};
use super::{Outcome, Placer, not_placer};
use crate::ids::{Epoch, Incarnation, RequestKey, TaskId, WorkerId};
use crate::protocol::caller::Answer;
use crate::scheduling::request_queue::QueuedRequest;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Pause between questions about the same task.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(50);

/// What a followed task occupies on its runner.
pub(super) enum Held {
    /// Nothing any more.
    Nothing,
    /// The slot that was reserved for it.
    Slot(Box<(QueuedRequest, RunnerSlot)>),
    /// A slot that was counted at the change of placer.
    Adopted,
}

/// A task without an owner.
pub(super) struct Followed {
    pub key: RequestKey,
    pub task: TaskId,
    pub worker: WorkerId,
    pub incarnation: Incarnation,
    /// Epoch of the placer that follows it.
    pub epoch: Epoch,
    /// Generation of the table in which its slot is counted.
    pub generation: u64,
    pub deadline_unix_ms: u64,
    pub idempotent: bool,
    /// Whether the runner confirmed that it has the task, so that an unknown id is a lost record.
    pub acknowledged: bool,
    pub damaged_answers: AtomicU32,
    pub flight: Arc<Flight>,
    pub held: Held,
    /// Outcome whose completion was not confirmed, with whether the task is certainly over.
    pub known: Option<(Outcome, bool)>,
}

impl Placer {
    /// Follows a task until its outcome is committed. Its flight must be registered.
    pub(super) fn follow(self: &Arc<Self>, followed: Followed) {
        let mut state = self.state.lock().unwrap();
        if !state.is_in(followed.generation) {
            drop(state);
            followed
                .flight
                .finish(FlightEnd::Outcome(Err(no_longer_placer())));
            return;
        }
        let worker = followed.worker.clone();
        let known = state.followed.contains_key(&worker);
        state
            .followed
            .entry(worker.clone())
            .or_default()
            .push(followed);
        drop(state);
        if known {
            return;
        }
        let placer = Arc::downgrade(self);
        let name = format!("follow-{worker}");
        let spawned = thread::Builder::new()
            .name(name)
            .spawn(move || follow_runner(&placer, &worker));
        if let Err(error) = spawned {
            log::error!("cannot start a thread to follow tasks: {error}");
        }
    }

    /// One round of questions about the tasks of a runner; returns whether any are left.
    fn follow_round(self: &Arc<Self>, worker: &str) -> bool {
        let batch = {
            let mut state = self.state.lock().unwrap();
            state.followed.get_mut(worker).map(std::mem::take)
        };
        let mut open = Vec::new();
        for followed in batch.unwrap_or_default() {
            if !self.follow_step(&followed) {
                open.push(followed);
            }
        }
        let mut state = self.state.lock().unwrap();
        let list = state.followed.entry(worker.to_owned()).or_default();
        list.append(&mut open);
        if list.is_empty() {
            state.followed.swap_remove(worker);
            return false;
        }
        true
    }

    /// Asks about one task; returns whether it needs no further following.
    fn follow_step(self: &Arc<Self>, followed: &Followed) -> bool {
        let fate = self.fate(&followed.worker, followed.incarnation, followed.generation);
        let Some(fate) = fate else {
            let end = FlightEnd::Outcome(Err(no_longer_placer()));
            followed.flight.finish(end);
            return true;
        };
        if let Some((outcome, over)) = &followed.known {
            return self.resolve(followed, outcome.clone(), *over);
        }
        match fate {
            Fate::Silent => false,
            Fate::Restarted => {
                let message = "the runner restarted while it held the task";
                let error = RequestError::may_have_run(ErrorCode::RunnerLost, message);
                self.resolve(followed, Err(error), true)
            }
            Fate::Lapsed => self.resolve(followed, Err(lapsed()), false),
            Fate::Present(link) => match self.ask_about(followed, &link) {
                Some((outcome, over)) => self.resolve(followed, outcome, over),
                None => false,
            },
        }
    }

    /// The outcome that the runner reports, with whether the task is certainly over.
    fn ask_about(&self, followed: &Followed, link: &RunnerLink) -> Option<(Outcome, bool)> {
        let (options, task, epoch) = (&self.options, &followed.task, followed.epoch);
        let mut reply = if followed.acknowledged {
            let target = task_calls::Target {
                link,
                task,
                epoch,
                deadline: options.clock.now() + options.timing.exchange_timeout(),
                fresh_connection: true,
            };
            task_calls::ask(options, &target, Method::GET, "", Duration::ZERO).ok()?
        } else {
            task_calls::settle(options, link, task, epoch)?
        };
        let unwanted = self.is_useless(followed) || followed.flight.is_cancelled();
        if matches!(reply, Reply::Running) && unwanted {
            reply = task_calls::cancel(options, link, task, epoch, Duration::ZERO)?;
        }
        let lost = |message: &str| RequestError::may_have_run(ErrorCode::RunnerLost, message);
        match reply {
            Reply::Running | Reply::Unintelligible(_) => None,
            Reply::Damaged => {
                let damaged = followed.damaged_answers.fetch_add(1, Ordering::Relaxed) + 1;
                if damaged < MAX_DAMAGED_ANSWERS {
                    return None;
                }
                let message = "the answer arrived damaged several times";
                Some((Err(RequestError::ran(ErrorCode::TaskFailed, message)), true))
            }
            Reply::Succeeded(body) => Some((Ok(Answer { body, wait_us: 0 }), true)),
            Reply::Failed(message) => {
                Some((Err(RequestError::ran(ErrorCode::TaskFailed, message)), true))
            }
            Reply::Stopped => Some((
                Err(lost("the runner stopped the task before its end")),
                true,
            )),
            Reply::NeverStarted(message) => {
                let error = RequestError::did_not_run(ErrorCode::Unavailable, message);
                Some((Err(error), true))
            }
            Reply::Unknown => Some((Err(lost("the runner lost the record of the task")), false)),
        }
    }

    /// Whether nobody can use the answer of a running task, so that its slot is worth more.
    fn is_useless(&self, followed: &Followed) -> bool {
        followed.idempotent
            && !followed.flight.has_waiters()
            && followed.deadline_unix_ms <= self.options.clock.unix_ms()
    }

    /// Commits the outcome and ends the flight; returns false when that must be tried again.
    fn resolve(self: &Arc<Self>, followed: &Followed, outcome: Outcome, over: bool) -> bool {
        let outcome = outcome.map_err(|error| describe_cancelled(followed, error));
        let committed = self.commit_completion(&followed.key, &followed.task, &outcome, over);
        let outcome = match committed {
            Ok(recorded) => recorded,
            Err(error) => {
                // The end of the epoch ends the following; until then it goes on.
                log::debug!("completion of {} not confirmed: {error}", followed.key);
                return false;
            }
        };
        let verdict = outcome
            .as_ref()
            .map_or_else(|error| error.verdict, |_| Verdict::Ran);
        log::info!(
            key = followed.key.as_str(), runner = followed.worker.as_str(),
            task = followed.task.as_str(), verdict = verdict.to_string().as_str();
            "task without an owner resolved"
        );
        let another = followed.idempotent
            && over
            && verdict != Verdict::Ran
            && !followed.flight.is_cancelled();
        let execution = match &followed.held {
            Held::Slot(held) => Some(Execution::of(&outcome, &held.1, self.options.clock.now())),
            Held::Nothing | Held::Adopted => None,
        };
        let end = if another {
            FlightEnd::LookAgain
        } else {
            FlightEnd::Outcome(outcome)
        };
        match &followed.held {
            Held::Nothing => {}
            Held::Slot(held) => self.release(&held.0, &held.1, execution),
            Held::Adopted => self.release_adopted(followed),
        }
        self.land(&followed.key, &followed.flight, end);
        true
    }
}

fn follow_runner(placer: &Weak<Placer>, worker: &str) {
    loop {
        let Some(placer) = placer.upgrade() else {
            return;
        };
        if !placer.follow_round(worker) {
            return;
        }
        drop(placer);
        thread::sleep(FOLLOW_INTERVAL);
    }
}

fn describe_cancelled(followed: &Followed, error: RequestError) -> RequestError {
    if error.verdict == Verdict::Ran || !followed.flight.is_cancelled() {
        return error;
    }
    RequestError {
        code: ErrorCode::Cancelled,
        ..error
    }
}

/// Error of a request that was on its way when this host lost its role.
pub(super) fn no_longer_placer() -> RequestError {
    RequestError {
        verdict: Verdict::MayHaveRun,
        ..not_placer()
    }
}
