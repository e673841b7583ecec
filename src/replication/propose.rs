//! Proposals of commands and of membership changes, and their outcomes.

use std::time::Instant;

use crossbeam::channel::{Receiver, bounded};
use thiserror::Error;

use super::log::{Entry, Index, Payload};
use super::membership::{Member, MemberRole, Membership};
use super::state::{Role, State, Transfer};
use crate::ids::{Epoch, HostId};

/// A committed command and what the state machine returned for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal<T> {
    /// Position of the command in the log.
    pub index: Index,
    /// Return value of the state machine.
    pub output: T,
}

/// A committed entry; `output` is present for commands.
#[derive(Debug)]
pub(super) struct Committed<T> {
    pub index: Index,
    pub output: Option<T>,
}

/// Why a proposal has no output.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ProposeError {
    /// This host does not lead; the proposal was not appended.
    #[error("not the leader{}", .leader.as_ref().map(|host| format!("; {host} leads")).unwrap_or_default())]
    NotLeader {
        /// Leader, when known.
        leader: Option<HostId>,
    },
    /// The proposal was not appended, because a limit is exceeded or a condition of a membership
    /// change or a leadership transfer is not met.
    #[error("refused: {0}")]
    Refused(String),
    /// Another leader's entry was committed at the index of the proposal.
    #[error("replaced by an entry of another leader")]
    Replaced,
    /// The proposal may have been committed, or may be committed later.
    #[error("unconfirmed: {0}")]
    Unknown(String),
}

impl ProposeError {
    /// Returns whether the proposal is certain never to be committed.
    pub fn is_certainly_not_committed(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

/// A leader lease: other hosts elect no leader before its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    pub epoch: Epoch,
    pub until: Instant,
}

pub(super) type OutcomeReceiver<T> = Receiver<Result<Committed<T>, ProposeError>>;

impl<T> State<T> {
    /// Appends a command. The outcome is sent once the command is committed and applied on this
    /// host.
    pub(super) fn propose(
        &mut self,
        command: Vec<u8>,
        now: Instant,
    ) -> Result<OutcomeReceiver<T>, ProposeError> {
        let limits = &self.options.limits;
        if command.len() > limits.max_command_bytes {
            let (size, limit) = (command.len(), limits.max_command_bytes);
            return Err(ProposeError::Refused(format!(
                "the command has {size} bytes, the limit is {limit}"
            )));
        }
        if self.log.last_index() - self.commit >= limits.max_uncommitted_entries {
            let limit = limits.max_uncommitted_entries;
            return Err(ProposeError::Refused(format!(
                "{limit} entries wait for a majority"
            )));
        }
        if self.leadership(now).is_none() || self.transfer.is_some() {
            return Err(self.not_leader());
        }
        self.propose_payload(Payload::Command(command), now)
    }

    fn propose_payload(
        &mut self,
        payload: Payload,
        now: Instant,
    ) -> Result<OutcomeReceiver<T>, ProposeError> {
        let (sender, receiver) = bounded(1);
        let key = (self.log.last_index() + 1, self.hard_state.term);
        self.pending_proposals.insert(key, sender);
        self.append_as_leader(payload, now);
        Ok(receiver)
    }

    /// Appends an entry of the present term as leader.
    pub(super) fn append_as_leader(&mut self, payload: Payload, now: Instant) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        self.storage.append(std::slice::from_ref(&entry));
        self.log.truncate_and_append(entry);
        if !self.storage.needs_sync() {
            self.mark_durable(self.log.last_index());
            self.advance_commit(now);
        }
    }

    pub(super) fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader {
            leader: self.leader.clone(),
        }
    }

    /// Returns the epoch while this host leads, its first entry is committed and applied, and a
    /// majority answered calls that were sent within the election timeout.
    pub(super) fn leadership(&self, now: Instant) -> Option<Epoch> {
        let lease = self.lease(now)?;
        (now < lease.until).then_some(lease.epoch)
    }

    /// Returns the lease, which ends unless a majority answers again; it may have expired. There is
    /// none during a transfer, since the target is elected without waiting for its end.
    pub(super) fn lease(&self, now: Instant) -> Option<Lease> {
        let leads = self.options.may_lead
            && self.role == Role::Leader
            && self.transfer.is_none()
            && self.fault.is_none()
            && self.commit >= self.term_start
            && self.applied >= self.term_start;
        if !leads {
            return None;
        }
        Some(Lease {
            epoch: self.hard_state.term,
            until: self.lease_expiry(now)?,
        })
    }

    /// Returns whether a membership entry may be appended: one change at a time, and only after this
    /// leader has committed an entry of its own term, since otherwise the majorities of two
    /// uncommitted changes may not overlap.
    pub(super) fn may_change_membership(&self) -> bool {
        self.role == Role::Leader
            && self.transfer.is_none()
            && self.commit >= self.term_start
            && self.commit >= self.log.membership_index()
    }

    /// Appends a membership that differs from the present one by a single change of voters.
    pub(super) fn change_membership(
        &mut self,
        next: Membership,
        now: Instant,
    ) -> Result<OutcomeReceiver<T>, ProposeError> {
        if self.role != Role::Leader || self.step_down_after_lapse(now) {
            return Err(self.not_leader());
        }
        if !self.may_change_membership() {
            let reason = "another membership change is not committed yet";
            return Err(ProposeError::Refused(reason.to_owned()));
        }
        if !self.log.membership().overlaps(&next) {
            let reason = "the change would replace more than one voter or remove the last";
            return Err(ProposeError::Refused(reason.to_owned()));
        }
        log::info!("membership of {} becomes {next:?}", self.options.group);
        let outcome = self.propose_payload(Payload::Membership(next), now);
        self.update_peers();
        outcome
    }

    /// Promotes a learner that has caught up to a voter.
    pub(super) fn promote(
        &mut self,
        host: &str,
        now: Instant,
    ) -> Result<OutcomeReceiver<T>, ProposeError> {
        let Some(member) = self.log.membership().get(host).cloned() else {
            return Err(ProposeError::Refused(format!("{host} is not a member")));
        };
        if !self.peers.get(host).is_some_and(|peer| peer.caught_up) {
            return Err(ProposeError::Refused(format!("{host} has not caught up")));
        }
        let voter = Member {
            role: MemberRole::Voter,
            ..member
        };
        self.change_membership(self.log.membership().with(voter), now)
    }

    /// Removes a member, and cancels a pending request to add the host as learner.
    pub(super) fn remove(
        &mut self,
        host: &str,
        now: Instant,
    ) -> Result<OutcomeReceiver<T>, ProposeError> {
        self.requested_learners.shift_remove(host);
        self.change_membership(self.log.membership().without(host), now)
    }

    /// Starts a leadership transfer to the target, or without a target to the voter with the highest
    /// match index. The target must be a voter that may lead and has answered.
    pub(super) fn start_transfer(
        &mut self,
        target: Option<HostId>,
        deadline: Instant,
    ) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            return Err(self.not_leader());
        }
        let best = self
            .peers
            .iter()
            .filter(|(host, peer)| {
                let member = self.log.membership().get(host);
                let votes = member.is_some_and(|member| member.role == MemberRole::Voter);
                let chosen = target.as_ref().is_none_or(|target| target == *host);
                votes && peer.may_lead && peer.acked_at.is_some() && chosen
            })
            .max_by_key(|(_, peer)| (peer.match_index, peer.acked_at));
        let Some((host, _)) = best else {
            let reason = "no other voter that may lead answers";
            return Err(ProposeError::Refused(reason.to_owned()));
        };
        self.transfer = Some(Transfer {
            target: host.clone(),
            deadline,
        });
        Ok(())
    }
}
