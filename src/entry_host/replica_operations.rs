//! Changes the members of the configuration log on behalf of operators.
//!
//! The host that an operator calls sends the steps of the operation to the leader, which checks and
//! executes each step. Steps are idempotent, so that they can be sent again when an answer or the
//! leader is lost.

use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::configuration_log::{ConfigurationReplica, LEADER_PAUSE};
use crate::admin::replicas::{ReplicaOperation, ReplicaOutcome, ReplicaReply};
use crate::ids::HostId;
use crate::peer::CallError;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::replication::{MemberRole, Membership, ProposeError};

/// Peer extension by which a host forwards a step to the leader.
pub(super) const STEP: &str = "configuration/member_step";
/// Timeout of an operation with a single step.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a replacement. Most of it is for the new host to catch up.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for the leader to execute one step.
const EXECUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a step of a replacement for which the leader refuses other operations, so that the
/// steps of two operations do not interleave.
const RESERVATION: Duration = Duration::from_secs(10);

/// Change of the membership that a step makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum StepKind {
    Add,
    Promote,
    Remove,
}

/// One step of an operation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Step {
    /// Random identifier of the operation.
    operation: u64,
    kind: StepKind,
    host: HostId,
    /// In a replacement: the voter to remove and the host that replaces it.
    replacement: Option<(HostId, HostId)>,
}

/// Result of a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum StepReply {
    Done(String),
    NotLeader,
    /// Not possible yet, but later without further action by the operator.
    Later(String),
    Refused(String),
    Unknown(String),
}

/// Identifier of the replacement that reserves the membership, and the end of its reservation.
pub(super) type Reservation = Option<(u64, Instant)>;

impl ConfigurationReplica {
    /// Runs the steps of an operation. The reply lists the steps that are done, also when the
    /// operation cannot be finished.
    pub(super) fn change_members(&self, operation: &ReplicaOperation) -> ReplicaReply {
        let timeout = match operation {
            ReplicaOperation::Replace { .. } => REPLACE_TIMEOUT,
            _ => STEP_TIMEOUT,
        };
        let deadline = Instant::now() + timeout;
        let mut done = Vec::new();
        for step in steps(operation) {
            match self.run_step(&step, deadline) {
                StepReply::Done(text) => done.push(text),
                StepReply::Unknown(reason) => {
                    return failed(ReplicaOutcome::Unknown, done, reason);
                }
                StepReply::Refused(reason) | StepReply::Later(reason) => {
                    let outcome = match done.is_empty() {
                        true => ReplicaOutcome::Refused,
                        false => ReplicaOutcome::Stopped,
                    };
                    return failed(outcome, done, reason);
                }
                StepReply::NotLeader => {
                    let reason = "no leader of the configuration log is known".to_owned();
                    let outcome = match done.is_empty() {
                        true => ReplicaOutcome::Refused,
                        false => ReplicaOutcome::Stopped,
                    };
                    return failed(outcome, done, reason);
                }
            }
        }
        ReplicaReply {
            outcome: ReplicaOutcome::Done,
            done,
            message: None,
        }
    }

    /// Retries a step until it is done or refused, or the deadline passes. An unknown outcome is
    /// kept: a later attempt that does not reach a leader proves nothing about the earlier one.
    fn run_step(&self, step: &Step, deadline: Instant) -> StepReply {
        let mut unknown = None;
        loop {
            let reply = match self.leader_hint() {
                Some(leader) if leader == self.host.id => self.step_locally(step),
                Some(leader) => self.step_at_leader(&leader, step),
                None => StepReply::NotLeader,
            };
            match reply {
                StepReply::Done(_) => return reply,
                StepReply::Refused(_) => return unknown.unwrap_or(reply),
                StepReply::Unknown(_) => unknown = Some(reply),
                StepReply::NotLeader | StepReply::Later(_) if Instant::now() >= deadline => {
                    return unknown.unwrap_or(reply);
                }
                StepReply::NotLeader | StepReply::Later(_) => {}
            }
            if Instant::now() >= deadline {
                return unknown.unwrap_or(StepReply::NotLeader);
            }
            thread::sleep(LEADER_PAUSE);
        }
    }

    fn step_at_leader(&self, leader: &str, step: &Step) -> StepReply {
        let Some(client) = self.clients.get(leader) else {
            return StepReply::NotLeader;
        };
        let request = PeerRequest::Extension {
            name: STEP.to_owned(),
            message: match postcard::to_stdvec(step) {
                Ok(message) => message,
                Err(error) => return StepReply::Refused(error.to_string()),
            },
        };
        // The leader requests a report from all hosts before it executes the step.
        let deadline = Instant::now() + EXECUTE_TIMEOUT * 2;
        match client.call(request, deadline) {
            Ok(PeerReply::Message(reply)) => postcard::from_bytes(&reply)
                .unwrap_or_else(|error| StepReply::Unknown(error.to_string())),
            Ok(PeerReply::Refused(reason)) => StepReply::Refused(reason),
            Ok(other) => StepReply::Unknown(format!("unexpected reply: {other:?}")),
            Err(CallError::NotSent { .. }) => StepReply::NotLeader,
            Err(error) => StepReply::Unknown(error.to_string()),
        }
    }

    /// Checks and executes a step as leader.
    pub(super) fn step_locally(&self, step: &Step) -> StepReply {
        if self.replica.leadership().is_none() {
            return StepReply::NotLeader;
        }
        if !self.reserve(step) {
            let reason = "another change of the members is under way; try again later";
            return StepReply::Refused(reason.to_owned());
        }
        let reply = self.check_and_execute(step);
        let is_last = step.kind == StepKind::Remove && matches!(reply, StepReply::Done(_));
        if is_last || matches!(reply, StepReply::Refused(_)) {
            *self.reservation.lock().unwrap() = None;
        }
        reply
    }

    fn check_and_execute(&self, step: &Step) -> StepReply {
        let requested_at = Instant::now();
        self.request_reports();
        let membership = self.replica.status().membership;
        if let Some((old, new)) = &step.replacement
            && let Err(reason) = check_replacement(old, new, &membership)
        {
            return StepReply::Refused(reason);
        }
        if let Some(text) = already_done(step, &membership) {
            return StepReply::Done(text);
        }
        if let Err(reason) = self.check_step(step, &membership, requested_at) {
            return StepReply::Refused(reason);
        }
        if step.kind == StepKind::Remove && step.host == self.host.id {
            // The next leader removes this host, so that the log is not left without a leader.
            let deadline = Instant::now() + EXECUTE_TIMEOUT;
            let transferred = self.replica.transfer_leadership(None, deadline);
            let reason = transferred.map_or_else(|error| error.to_string(), |()| String::new());
            return StepReply::Later(format!("the leadership is being handed over; {reason}"));
        }
        self.execute(step)
    }

    fn execute(&self, step: &Step) -> StepReply {
        let deadline = Instant::now() + EXECUTE_TIMEOUT;
        let host = &step.host;
        let (result, text) = match step.kind {
            StepKind::Add => (
                self.replica.add_learner(host, deadline),
                format!("{host} was added as learner"),
            ),
            StepKind::Promote => (
                self.replica.promote(host, deadline),
                format!("{host} has caught up and votes"),
            ),
            StepKind::Remove => (
                self.replica.remove(host, deadline),
                format!("{host} was removed"),
            ),
        };
        match result {
            Ok(()) => StepReply::Done(text),
            Err(ProposeError::NotLeader { .. }) => StepReply::NotLeader,
            // The log refuses while the host has not caught up or an earlier membership entry is
            // not committed. Both conditions are temporary.
            Err(ProposeError::Refused(reason)) => StepReply::Later(reason),
            Err(ProposeError::Replaced) => StepReply::NotLeader,
            Err(error @ ProposeError::Unknown(_)) => StepReply::Unknown(error.to_string()),
        }
    }

    /// Reserves the membership if the step belongs to a replacement. Returns whether the step may
    /// be executed, which it may not while another operation holds the reservation.
    fn reserve(&self, step: &Step) -> bool {
        let now = Instant::now();
        let mut reservation = self.reservation.lock().unwrap();
        if reservation.is_some_and(|(holder, until)| holder != step.operation && now < until) {
            return false;
        }
        if step.replacement.is_some() {
            *reservation = Some((step.operation, now + RESERVATION));
        }
        true
    }

    /// Checks a step against the hosts that reported since `requested_at`.
    fn check_step(
        &self,
        step: &Step,
        membership: &Membership,
        requested_at: Instant,
    ) -> Result<(), String> {
        let concerned = |host: &HostId| {
            let replacement = step.replacement.as_ref();
            *host == step.host || replacement.is_some_and(|(old, new)| host == old || host == new)
        };
        let returning = membership
            .members
            .iter()
            .find(|member| member.role == MemberRole::Returning && !concerned(&member.host));
        if let Some(member) = returning {
            return Err(format!(
                "another change is under way: {} lost its storage and is being re-admitted",
                member.host
            ));
        }
        match step.kind {
            StepKind::Remove => self.check_removal(&step.host, membership, requested_at),
            StepKind::Promote => self.check_promotion(step, membership, requested_at),
            StepKind::Add => match &step.replacement {
                Some(_) => self.check_promotion(step, membership, requested_at),
                None => self.check_in_settings(&step.host),
            },
        }
    }

    /// Checks that the host is in the settings of this host.
    fn check_in_settings(&self, host: &str) -> Result<(), String> {
        if self.hosts.iter().any(|listed| listed.id == host) {
            return Ok(());
        }
        Err(format!(
            "{host} is not in the settings of {}; add it to cell.hosts on all entry hosts first",
            self.host.id
        ))
    }

    /// Checks that the host can vote and that the enlarged group has a majority of working voters.
    fn check_promotion(
        &self,
        step: &Step,
        membership: &Membership,
        requested_at: Instant,
    ) -> Result<(), String> {
        let host = &step.host;
        self.check_in_settings(host)?;
        let Some(report) = self.report_since(host, requested_at) else {
            return Err(format!("{host} does not answer"));
        };
        if let Some(fault) = report.fault {
            return Err(format!("{host} cannot store the log: {fault}"));
        }
        if !report.on_disk {
            return Err(format!("{host} has no data_folder, so it cannot vote"));
        }
        if step.kind == StepKind::Promote && membership.get(host).is_none() {
            return Err(format!("{host} does not receive the log; add it first"));
        }
        let voters = membership.voters().count();
        let working = self.working_voters(membership, None, requested_at);
        check_majority(working + 1, voters + 1)
    }

    /// Checks that the group without the host has a majority of working voters.
    fn check_removal(
        &self,
        host: &str,
        membership: &Membership,
        requested_at: Instant,
    ) -> Result<(), String> {
        let Some(member) = membership.get(host) else {
            return Err(format!("{host} is not a member"));
        };
        if member.role != MemberRole::Voter {
            return Ok(());
        }
        let voters = membership.voters().count() - 1;
        check_majority(
            self.working_voters(membership, Some(host), requested_at),
            voters,
        )
    }

    /// Counts the voters that answer, store the log and still have the storage with which they were
    /// admitted, except the host `without`.
    fn working_voters(
        &self,
        membership: &Membership,
        without: Option<&str>,
        requested_at: Instant,
    ) -> usize {
        let working = membership.voters().filter(|member| {
            let report = self.report_since(&member.host, requested_at);
            without != Some(member.host.as_str())
                && report.is_some_and(|report| {
                    report.fault.is_none() && report.incarnation == member.incarnation
                })
        });
        working.count()
    }
}

fn check_majority(working: usize, voters: usize) -> Result<(), String> {
    if working * 2 > voters {
        return Ok(());
    }
    Err(format!(
        "the group would lose its quorum: only {working} of {voters} voters would work"
    ))
}

/// Checks that the hosts of a replacement differ and that one of them is a voter. After the last
/// step only the new host is.
fn check_replacement(old: &str, new: &str, membership: &Membership) -> Result<(), String> {
    if old == new {
        return Err("a host cannot replace itself; wipe and restart it instead".to_owned());
    }
    let votes = |host| {
        let member = membership.get(host);
        member.is_some_and(|member| member.role != MemberRole::Learner)
    };
    if votes(old) || votes(new) {
        return Ok(());
    }
    Err(format!("{old} is not a voter"))
}

/// Returns a description of the result if the step is already done, for example by an earlier
/// attempt.
fn already_done(step: &Step, membership: &Membership) -> Option<String> {
    let host = &step.host;
    let role = membership.get(host).map(|member| member.role);
    match (step.kind, role) {
        (StepKind::Add, Some(MemberRole::Learner)) if step.replacement.is_none() => {
            Some(format!("{host} was a learner already"))
        }
        (StepKind::Add | StepKind::Promote, Some(MemberRole::Voter)) => {
            Some(format!("{host} was a voter already"))
        }
        // After its removal, a running host of the settings is added as a learner again.
        (StepKind::Remove, None | Some(MemberRole::Learner)) if step.replacement.is_some() => {
            Some(format!("{host} did not vote any more"))
        }
        _ => None,
    }
}

/// Splits an operation into its steps, in order.
fn steps(operation: &ReplicaOperation) -> Vec<Step> {
    let id = rand::random();
    let step = |kind, host: &HostId| Step {
        operation: id,
        kind,
        host: host.clone(),
        replacement: None,
    };
    match operation {
        ReplicaOperation::Add(host) => vec![step(StepKind::Add, host)],
        ReplicaOperation::Promote(host) => vec![step(StepKind::Promote, host)],
        ReplicaOperation::Remove(host) => vec![step(StepKind::Remove, host)],
        ReplicaOperation::Replace { old, new } => {
            let mut steps = vec![
                step(StepKind::Add, new),
                step(StepKind::Promote, new),
                step(StepKind::Remove, old),
            ];
            for step in &mut steps {
                step.replacement = Some((old.clone(), new.clone()));
            }
            steps
        }
    }
}

fn failed(outcome: ReplicaOutcome, done: Vec<String>, reason: String) -> ReplicaReply {
    let message = match outcome {
        ReplicaOutcome::Stopped | ReplicaOutcome::Unknown => format!(
            "{reason}; list the replicas, and repeat the operation to go on where it stopped"
        ),
        ReplicaOutcome::Done | ReplicaOutcome::Refused => reason,
    };
    ReplicaReply {
        outcome,
        done,
        message: Some(message),
    }
}
