//! Duties of a leader besides replication: keeping its majority, re-admission, hand-over, syncs.

use std::time::Instant;

use super::disk::SyncJob;
use super::log::Index;
use super::membership::{Member, MemberRole, Membership};
use super::state::{Role, State};
use super::storage::StorageError;

/// A sync that runs without the lock of the state.
pub(super) struct PendingSync {
    job: SyncJob,
    last_index: Index,
    generation: u64,
}

impl PendingSync {
    /// Waits for the disk.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub(super) fn run(&self) -> Result<(), StorageError> {
        self.job.run()
    }
}

impl<T> State<T> {
    /// Time-driven steps of a leader.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        if !self.has_fresh_majority(now) {
            self.step_down(now);
            return;
        }
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            self.transfer = None;
        }
        if !self.options.may_lead && self.transfer.is_none() {
            let deadline = now + self.options.timing.election_timeout;
            // Fails while no such voter answers; the next tick tries again.
            let _ = self.start_transfer(None, deadline);
        }
        if self.may_change_membership()
            && let Some(next) = self.due_membership()
        {
            let _ = self.change_membership(next, now);
        }
    }

    /// Next membership that follows from what the peers have answered.
    fn due_membership(&self) -> Option<Membership> {
        let membership = self.log.membership();
        for member in &membership.members {
            let Some(peer) = self.peers.get(&member.host) else {
                continue;
            };
            if let Some(incarnation) = peer.replaced_by {
                let role = match member.role {
                    MemberRole::Voter | MemberRole::Returning => MemberRole::Returning,
                    MemberRole::Learner => MemberRole::Learner,
                };
                return Some(membership.with(Member {
                    host: member.host.clone(),
                    incarnation,
                    role,
                }));
            }
            if member.role == MemberRole::Returning && peer.caught_up {
                return Some(membership.with(Member {
                    role: MemberRole::Voter,
                    ..member.clone()
                }));
            }
        }
        for host in &self.wanted_learners {
            let presence = self.peers.get(host).and_then(|peer| peer.presence.as_ref());
            let Some(presence) =
                presence.filter(|seen| seen.group == 0 || seen.group == self.hard.group)
            else {
                continue;
            };
            if membership.get(host).is_none() {
                return Some(membership.with(Member {
                    host: host.clone(),
                    incarnation: presence.incarnation,
                    role: MemberRole::Learner,
                }));
            }
        }
        None
    }

    /// Whether entries wait for a sync.
    pub(super) fn has_unsynced(&self) -> bool {
        self.fault.is_none() && self.durable < self.log.last_index()
    }

    /// Writes the waiting entries at once; the sync itself is left to the caller.
    pub(super) fn begin_sync(&mut self) -> Option<PendingSync> {
        let begun = self.storage.begin_sync();
        let job = self.checked(begun)??;
        Some(PendingSync {
            job,
            last_index: self.log.last_index(),
            generation: self.sync_generation,
        })
    }

    /// Takes the result of a sync.
    pub(super) fn finish_sync(
        &mut self,
        sync: &PendingSync,
        result: Result<(), StorageError>,
        now: Instant,
    ) {
        if self.checked(result).is_none() || sync.generation != self.sync_generation {
            return;
        }
        self.durable = self.durable.max(sync.last_index);
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }
}
