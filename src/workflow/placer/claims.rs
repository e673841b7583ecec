//! Heartbeats that contradict what is known of a worker.
//!
//! A heartbeat proves nothing about its sender: one of another writer may name the identifier or
//! the address of a sound worker. One that names another incarnation ends runs only once it is
//! certain that these have ended: another process answers at the address, or the lease has expired.
//! The next incarnation of a worker may carry out start orders that were sent to the former one, so
//! that the runs stay with the worker until it has listed what it runs.

use std::time::Instant;

use indexmap::IndexSet;

use super::super::records::RunOutcome;
use super::super::spec::TaskKey;
use super::super::workers::{WorkerHeartbeat, WorkerRecord};
use super::Now;
use super::term::{LiveRun, LiveWorker, RunPhase, Term};
use crate::ids::WorkerId;
use crate::scheduling::ledger::WorkerStatus;

/// A heartbeat of another incarnation of a worker, while it is not known which one runs.
pub struct Claim {
    heartbeat: WorkerHeartbeat,
    claimed_at: Instant,
}

/// What a heartbeat under the identifier of a known worker means.
enum Meaning {
    /// It may change the record of the known incarnation.
    Present,
    /// It belongs to the incarnation that runs, and the known one has ended.
    Successor,
    /// It belongs to another incarnation, and the known one may run.
    Claim,
    /// It was sent before the latest one.
    Late,
    /// It names the known incarnation at a place where that cannot be.
    Contradiction,
}

impl Term {
    /// Decides whether a heartbeat is to be registered. Returns the runs that the known incarnation
    /// leaves to its successor, and `None` if the heartbeat is not to be registered.
    pub(super) fn admit_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Now,
    ) -> Option<IndexSet<TaskKey>> {
        let (record, sequence) = (&heartbeat.record, heartbeat.sequence);
        let id = record.id.clone();
        let Some(known) = self.workers.get(&id) else {
            return Some(IndexSet::new());
        };
        match self.meaning(known, heartbeat, now.at) {
            Meaning::Present => Some(IndexSet::new()),
            Meaning::Successor => {
                self.judge_crash(&id, now);
                self.end_unsent_runs(&id, now);
                self.remove_permits(&id);
                let former = self.drop_incarnation(&id);
                Some(former.map(|former| former.runs).unwrap_or_default())
            }
            Meaning::Claim => {
                self.hold_claim(heartbeat, now.at);
                None
            }
            Meaning::Late => {
                log::info!(worker = id.as_str(), incarnation = record.incarnation, sequence; "late heartbeat ignored");
                None
            }
            Meaning::Contradiction => {
                log::warn!(
                    worker = id.as_str(), incarnation = record.incarnation,
                    address = record.address.as_str(), known = known.record.address.as_str(),
                    data_centre = record.data_centre.as_str();
                    "heartbeat ignored: the worker cannot have moved without a restart"
                );
                None
            }
        }
    }

    /// Ends the runs on a worker whose start orders were not sent, so that no incarnation of it can
    /// start them.
    fn end_unsent_runs(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs = worker.runs.iter();
        let unsent = runs.filter(|task| self.runs.get(*task).is_some_and(LiveRun::was_never_sent));
        let unsent: Vec<TaskKey> = unsent.cloned().collect();
        for task in unsent {
            self.finish_run(&task, RunOutcome::NeverStarted, String::new(), now);
        }
    }

    /// Keeps the runs of the former incarnation on a worker until its first list in this term shows
    /// which of them it runs, or until its longest lease is over.
    pub(super) fn inherit_runs(&mut self, id: &WorkerId, runs: IndexSet<TaskKey>, now: Instant) {
        let Some(worker) = self.workers.get_mut(id).filter(|_| !runs.is_empty()) else {
            return;
        };
        log::info!(
            worker = id.as_str(), incarnation = worker.record.incarnation, runs = runs.len();
            "worker restarted; the runs of its former incarnation wait for its first list"
        );
        for task in &runs {
            let Some(run) = self.runs.get_mut(task) else {
                continue;
            };
            run.phase = match run.phase {
                RunPhase::Stopping { .. } => RunPhase::Stopping {
                    confirmed_at: Some(now),
                    ordered_at: now,
                },
                _ => RunPhase::Unresolved,
            };
            run.confirmed = false;
            run.harmless = false;
            run.progress = None;
        }
        worker.runs = runs;
    }

    fn meaning(&self, known: &LiveWorker, heartbeat: &WorkerHeartbeat, now: Instant) -> Meaning {
        let (record, former) = (&heartbeat.record, &known.record);
        if record.incarnation > former.incarnation {
            return if self.has_no_runs_left(known, record, now) {
                Meaning::Successor
            } else {
                Meaning::Claim
            };
        }
        if record.incarnation < former.incarnation {
            // The known incarnation was announced, but something else answers there.
            return if known.ended && known.clock.is_none() {
                Meaning::Successor
            } else {
                Meaning::Late
            };
        }
        if heartbeat.sequence < known.heartbeat_sequence {
            Meaning::Late
        } else if record.address != former.address || record.data_centre != former.data_centre {
            Meaning::Contradiction
        } else {
            Meaning::Present
        }
    }

    /// Whether no run of the known incarnation can be at work. A worker without runs is taken to
    /// have restarted at its address; if it has not, its next answer shows that.
    fn has_no_runs_left(&self, known: &LiveWorker, successor: &WorkerRecord, now: Instant) -> bool {
        let silent = known.unresponsive_since.is_some();
        let expires_at = self.lease_end(known).expires_at;
        let idle = known.runs.iter().all(|task| {
            let run = self.runs.get(task);
            run.is_none_or(LiveRun::was_never_sent)
        });
        let at_same_address = known.record.address == successor.address;
        known.ended || (silent && now >= expires_at) || (idle && (at_same_address || silent))
    }

    /// Keeps the heartbeat until it is known which incarnation runs. The worker receives no new
    /// runs before its next answer: a start order would reach a process that has taken its place.
    fn hold_claim(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        let id = &heartbeat.record.id;
        let Some(known) = self.workers.get_mut(id) else {
            return;
        };
        let incarnation = heartbeat.record.incarnation;
        let held = known.claim.as_ref();
        let held = held.filter(|claim| claim.heartbeat.record.incarnation == incarnation);
        let claimed_at = held.map_or(now, |claim| claim.claimed_at);
        if held.is_none() {
            log::info!(
                worker = id.as_str(), incarnation, known = known.record.incarnation,
                runs = known.runs.len(); "worker may have restarted; waiting for its answer"
            );
        }
        known.claim = Some(Claim {
            heartbeat: heartbeat.clone(),
            claimed_at,
        });
        let index = known.index;
        self.ledger.set_status(index, WorkerStatus::Lost);
    }

    /// Drops the claim of another incarnation when the known one has answered since.
    pub(super) fn refute_claim(&mut self, id: &WorkerId, asked_at: Instant) {
        let Some(known) = self.workers.get_mut(id) else {
            return;
        };
        let refuted = known.claim.take_if(|claim| asked_at > claim.claimed_at);
        if let Some(claim) = refuted {
            log::warn!(
                worker = id.as_str(), incarnation = known.record.incarnation,
                claimed = claim.heartbeat.record.incarnation;
                "heartbeat ignored: the worker has not restarted"
            );
        }
    }

    /// Handles the answer of another process at the address of a worker, which proves that the known
    /// incarnation has ended, or never was.
    pub(super) fn handle_ended_incarnation(&mut self, id: &WorkerId, now: Now) {
        let Some(known) = self.workers.get_mut(id) else {
            return;
        };
        known.ended = true;
        let claim = known.claim.take();
        let (address, incarnation) = (known.record.address.clone(), known.record.incarnation);
        if let Some(claim) = claim {
            self.handle_heartbeat(claim.heartbeat, now);
            return;
        }
        let succeeded = self
            .workers
            .values()
            .any(|other| other.record.address == address && other.record.incarnation > incarnation);
        if succeeded {
            self.judge_crash(id, now);
            self.remove_worker(id, now);
        }
    }

    /// Whether a heartbeat comes from a process that ran at its address before the worker that
    /// answers there.
    pub(super) fn is_from_former_worker(&self, record: &WorkerRecord) -> bool {
        let successor = self.workers.values().find(|other| {
            other.record.address == record.address
                && other.record.id != record.id
                && other.record.incarnation >= record.incarnation
                && other.clock.is_some()
        });
        if let Some(successor) = successor {
            log::info!(
                worker = record.id.as_str(), successor = successor.record.id.as_str();
                "late heartbeat of a former worker ignored"
            );
        }
        successor.is_some()
    }

    /// Removes the workers that ran at the address of another one before it: all of them once that
    /// one has answered, and otherwise those that have certainly ended.
    pub(super) fn remove_predecessors(&mut self, successor: &WorkerRecord, now: Now) {
        let answers = self
            .workers
            .get(&successor.id)
            .is_some_and(|worker| worker.clock.is_some());
        let mut former: Vec<WorkerId> = Vec::new();
        for (id, other) in &self.workers {
            let earlier = other.record.incarnation < successor.incarnation;
            if other.record.address != successor.address || *id == successor.id || !earlier {
                continue;
            }
            let unused = other.runs.is_empty() && !other.reachable;
            if answers || other.ended || unused {
                former.push(id.clone());
            }
        }
        for id in former {
            self.judge_crash(&id, now);
            self.remove_worker(&id, now);
        }
    }
}
