//! Records of requests in the placement log, and the replicated state built from them.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Outcome, key};
use crate::ids::{Epoch, Incarnation, RequestKey, TaskId, WorkerId};
use crate::protocol::caller::Submission;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Maximum number of key records. Above it the oldest completed records are dropped before the end
/// of their retention, and keys of the same age are refused. A record takes about 500 bytes, so this
/// bounds the records to 256 MB.
const MAX_KEY_RECORDS: usize = 500_000;

/// Hash of the fields that must be equal for two submissions to be the same request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Computes the digest of a submission. Its deadline and urgency are not part of it.
    pub fn of(submission: &Submission) -> Self {
        let mut hasher = Sha256::new();
        for part in [&submission.member, &submission.service] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update([u8::from(submission.idempotent)]);
        hasher.update(&submission.payload);
        Self(hasher.finalize().into())
    }
}

/// A request is about to be sent to a runner.
///
/// The record omits the payload, which would multiply the traffic of the log. Only a caller that
/// still waits needs another attempt, and gateways resend the whole request after a change of placer,
/// so a new placer has the payload of every request that a caller waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Identifies the request, so that a key is not used for two different ones.
    pub digest: RequestDigest,
    /// Whether another attempt is allowed once this attempt cannot be running any more.
    pub idempotent: bool,
    /// Task id of the attempt.
    pub task: TaskId,
    /// Attempt that this one replaces; absent for the first attempt. The intent has no effect when
    /// the latest attempt is a different one.
    pub former: Option<TaskId>,
    /// Whether the replaced attempt, or one before it, may have run. The intent carries this because
    /// the key record may have no outcome of that attempt yet.
    pub former_may_have_run: bool,
    /// Runner that the request is sent to.
    pub worker: WorkerId,
    /// Incarnation of the runner for which the intent holds.
    pub incarnation: Incarnation,
    /// Address of the runner when the intent was created.
    pub address: String,
    /// Epoch of the placer that sends the request.
    pub epoch: Epoch,
    /// Deadline of the request as wall-clock time.
    pub deadline_unix_ms: u64,
    /// Wall-clock time of the placer when it created the record.
    pub now_unix_ms: u64,
}

/// The outcome of a request is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Attempt that ended. The completion has no effect when the latest attempt is a different one.
    pub task: TaskId,
    /// Outcome of the attempt, from which the outcome for the caller and for retries is derived.
    pub outcome: Outcome,
    /// Whether the attempt is certain not to be running any more.
    pub over: bool,
    /// Wall-clock time of the placer when it created the record.
    pub now_unix_ms: u64,
    /// Wall-clock time from which the record of the key may be dropped.
    pub keep_until_unix_ms: u64,
    /// Limit on the total size of retained answers. It is part of the record because replicas must
    /// drop the same answers even while their settings differ.
    pub max_answer_bytes: u64,
}

/// A request was cancelled while it waited. Later copies of it, for example one that a gateway
/// resends after a lost reply, receive this outcome, so that the reply to the caller stays true.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancellation {
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Identifies the request, so that a key is not used for two different ones.
    pub digest: RequestDigest,
    /// Epoch of the placer that cancelled the request.
    pub epoch: Epoch,
    /// Wall-clock time of the placer when it created the record.
    pub now_unix_ms: u64,
    /// Wall-clock time from which the record of the key may be dropped.
    pub keep_until_unix_ms: u64,
}

/// One entry of the placement log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementRecord {
    /// A placer begins its epoch. Later records of intents of earlier epochs have no effect.
    Takeover {
        /// Epoch of the new placer.
        epoch: Epoch,
        /// Wall-clock time of the placer when it created the record.
        now_unix_ms: u64,
    },
    /// A request is about to be sent to a runner.
    Intent(Intent),
    /// The outcome of a request is known.
    Completion(Completion),
    /// A request was cancelled while it waited.
    Cancellation(Cancellation),
    /// Advances the time of the state and drops key records whose retention has ended.
    Advance {
        /// Wall-clock time of the placer when it created the record.
        now_unix_ms: u64,
    },
}

/// Latest attempt and outcome of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Identifies the request, so that a key is not used for two different ones.
    pub digest: RequestDigest,
    /// Whether another attempt is allowed once the latest one cannot be running any more.
    pub idempotent: bool,
    /// Whether an attempt before the latest one may have run.
    pub earlier_may_have_run: bool,
    /// Task id of the latest attempt; empty when the request was cancelled while it waited.
    pub task: TaskId,
    /// Runner of the latest attempt.
    pub worker: WorkerId,
    /// Incarnation of that runner.
    pub incarnation: Incarnation,
    /// Address of that runner when the attempt began.
    pub address: String,
    /// Epoch of the placer that started the attempt.
    pub epoch: Epoch,
    /// Deadline of the request as wall-clock time.
    pub deadline_unix_ms: u64,
    /// Outcome of the request; absent until the outcome of the latest attempt is known.
    pub outcome: Option<Outcome>,
    /// Whether the latest attempt is certain not to be running any more.
    pub over: bool,
}

impl KeyRecord {
    /// Whether an attempt of the request may have run.
    pub fn may_have_run(&self) -> bool {
        let latest =
            matches!(&self.outcome, Some(Err(error)) if error.verdict == Verdict::MayHaveRun);
        latest || self.earlier_may_have_run
    }

    /// Derives the outcome of the request from that of its latest attempt. That the latest attempt
    /// did not run proves nothing about earlier ones.
    fn over_all_attempts(&self, latest: Outcome) -> Outcome {
        let earlier_may_have_run = self.earlier_may_have_run;
        latest.map_err(|error| match error.verdict {
            Verdict::DidNotRun if earlier_may_have_run => RequestError {
                verdict: Verdict::MayHaveRun,
                message: format!("{}; an earlier attempt may have run", error.message),
                ..error
            },
            _ => error,
        })
    }

    /// Whether the latest attempt is known not to have run.
    pub fn did_not_run(&self) -> bool {
        matches!(&self.outcome, Some(Err(error)) if error.verdict == Verdict::DidNotRun)
    }

    /// Whether a further submission of the key may start another attempt: the latest one did not
    /// run, or the request is idempotent and the latest one is certain to be over without an answer.
    pub fn permits_another_attempt(&self) -> bool {
        let Some(Err(error)) = &self.outcome else {
            return false;
        };
        match error.verdict {
            Verdict::Ran => false,
            // A confirmed cancellation is final for its key.
            Verdict::DidNotRun => error.code != ErrorCode::Cancelled,
            Verdict::MayHaveRun => self.idempotent && self.over,
        }
    }
}

/// Entry for a completed attempt in the queue of records to drop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Completed {
    key: RequestKey,
    task: TaskId,
    keep_until_unix_ms: u64,
}

/// State built from the committed records; equal on all replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementState {
    /// Key records, by idempotency key.
    pub keys: IndexMap<RequestKey, KeyRecord>,
    /// Highest epoch of any takeover record.
    pub epoch: Epoch,
    /// Latest wall-clock time of any record; never decreases.
    pub now_unix_ms: u64,
    /// Structured keys without a record that were issued before this time are refused, since a
    /// record of that age was dropped before the end of its retention.
    pub key_floor_unix_seconds: u64,
    /// Total size of the retained answers.
    pub answer_bytes: u64,
    completed: VecDeque<Completed>,
    /// Attempts with a retained answer, oldest first.
    answered: VecDeque<(RequestKey, TaskId)>,
}

impl PlacementState {
    /// Applies the next record of the log.
    pub fn apply(&mut self, record: PlacementRecord) {
        match record {
            PlacementRecord::Takeover { epoch, now_unix_ms } => {
                self.epoch = self.epoch.max(epoch);
                self.advance(now_unix_ms);
            }
            PlacementRecord::Intent(intent) => self.apply_intent(intent),
            PlacementRecord::Completion(completion) => self.apply_completion(completion),
            PlacementRecord::Cancellation(cancellation) => self.apply_cancellation(cancellation),
            PlacementRecord::Advance { now_unix_ms } => self.advance(now_unix_ms),
        }
    }

    /// Whether the retention of the oldest completed record has ended at the given time.
    pub fn is_due(&self, now_unix_ms: u64) -> bool {
        self.completed
            .front()
            .is_some_and(|oldest| oldest.keep_until_unix_ms <= now_unix_ms)
    }

    fn apply_intent(&mut self, intent: Intent) {
        self.advance(intent.now_unix_ms);
        if intent.epoch < self.epoch {
            return;
        }
        let latest = self.keys.get(&intent.key);
        if latest.map(|record| &record.task) != intent.former.as_ref() {
            return;
        }
        if latest
            .is_some_and(|record| record.outcome.is_some() && !record.permits_another_attempt())
        {
            return;
        }
        let earlier_may_have_run =
            intent.former_may_have_run || latest.is_some_and(KeyRecord::may_have_run);
        let record = KeyRecord {
            digest: intent.digest,
            idempotent: intent.idempotent,
            earlier_may_have_run,
            task: intent.task,
            worker: intent.worker,
            incarnation: intent.incarnation,
            address: intent.address,
            epoch: intent.epoch,
            deadline_unix_ms: intent.deadline_unix_ms,
            outcome: None,
            over: false,
        };
        self.keys.insert(intent.key, record);
    }

    fn apply_completion(&mut self, completion: Completion) {
        self.advance(completion.now_unix_ms);
        let Some(record) = self.keys.get_mut(&completion.key) else {
            return;
        };
        if record.task != completion.task || record.outcome.is_some() {
            return;
        }
        if let Ok(answer) = &completion.outcome {
            self.answer_bytes += answer.body.len() as u64;
            self.answered
                .push_back((completion.key.clone(), completion.task.clone()));
        }
        record.outcome = Some(record.over_all_attempts(completion.outcome));
        record.over = completion.over;
        self.completed.push_back(Completed {
            key: completion.key,
            task: completion.task,
            keep_until_unix_ms: completion.keep_until_unix_ms,
        });
        self.drop_answers(completion.max_answer_bytes);
    }

    fn apply_cancellation(&mut self, cancellation: Cancellation) {
        self.advance(cancellation.now_unix_ms);
        // An earlier attempt that may have run, or that has no outcome yet, keeps its record.
        let latest = self.keys.get(&cancellation.key);
        if latest.is_some_and(|record| !record.did_not_run()) {
            return;
        }
        let message = "cancelled while waiting";
        let outcome = Err(RequestError::did_not_run(ErrorCode::Cancelled, message));
        let record = KeyRecord {
            digest: cancellation.digest,
            idempotent: false,
            earlier_may_have_run: false,
            task: TaskId::new(),
            worker: WorkerId::new(),
            incarnation: 0,
            address: String::new(),
            epoch: cancellation.epoch,
            deadline_unix_ms: cancellation.now_unix_ms,
            outcome: Some(outcome),
            over: true,
        };
        self.keys.insert(cancellation.key.clone(), record);
        self.completed.push_back(Completed {
            key: cancellation.key,
            task: TaskId::new(),
            keep_until_unix_ms: cancellation.keep_until_unix_ms,
        });
    }

    fn advance(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = self.now_unix_ms.max(now_unix_ms);
        while let Some(oldest) = self.completed.front() {
            let due = oldest.keep_until_unix_ms <= self.now_unix_ms;
            if !due && self.keys.len() <= MAX_KEY_RECORDS {
                return;
            }
            let oldest = self.completed.pop_front().expect("a front exists");
            self.drop_record(&oldest, due);
        }
    }

    fn drop_record(&mut self, oldest: &Completed, due: bool) {
        let is_latest = self
            .keys
            .get(&oldest.key)
            .is_some_and(|record| record.task == oldest.task && record.outcome.is_some());
        if !is_latest {
            return;
        }
        let Some(record) = self.keys.swap_remove(&oldest.key) else {
            return;
        };
        if let Some(Ok(answer)) = &record.outcome {
            self.answer_bytes -= answer.body.len() as u64;
        }
        // Repeating an idempotent request is harmless once its attempt is over, so older keys need
        // not be refused.
        if due || (record.idempotent && record.over) {
            return;
        }
        if let Some(issued) = key::issued_unix_seconds(&oldest.key) {
            let floor = issued.saturating_add(1).min(self.now_unix_ms / 1000);
            self.key_floor_unix_seconds = self.key_floor_unix_seconds.max(floor);
        }
    }

    /// Replaces the oldest answers by an error until the others are within the limit.
    fn drop_answers(&mut self, max_answer_bytes: u64) {
        // Entries of dropped records are removed here as well, so that the list is bounded.
        while self.answer_bytes > max_answer_bytes || self.answered.len() > MAX_KEY_RECORDS {
            let Some((key, task)) = self.answered.pop_front() else {
                return;
            };
            let Some(record) = self.keys.get_mut(&key).filter(|record| record.task == task) else {
                continue;
            };
            let Some(Ok(answer)) = &record.outcome else {
                continue;
            };
            self.answer_bytes -= answer.body.len() as u64;
            let message = "the request ran, but its answer is no longer retained";
            record.outcome = Some(Err(RequestError::ran(ErrorCode::KeyExpired, message)));
        }
    }
}
