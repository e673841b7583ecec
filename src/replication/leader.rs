//! Leader operations besides replication: checks of the majority, membership changes, leadership
//! transfers and syncs.

use std::time::Instant;

use super::disk::SyncJob;
use super::log::Index;
use super::membership::{Member, MemberRole, Membership};
use super::state::{Role, State};
use super::storage::StorageError;

/// A sync that runs while the state is not locked.
pub(super) struct PendingSync {
    job: SyncJob,
    last_index: Index,
    generation: u64,
}

impl PendingSync {
    /// Syncs the log and blocks until the entries are durable.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`].
    pub(super) fn run(&self) -> Result<(), StorageError> {
        self.job.run()
    }
}

impl<T> State<T> {
    /// Runs the time-driven operations of a leader.
    pub(super) fn tick_leader(&mut self, now: Instant) {
        if self.step_down_after_lapse(now) {
            return;
        }
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            self.transfer = None;
            // The target may still receive the request to stand for election, and would then be
            // elected beside a leader with a lease.
            if self.options.may_lead {
                self.step_down(now);
                return;
            }
        }
        if !self.options.may_lead && self.transfer.is_none() {
            let deadline = now + self.options.timing.election_timeout;
            // Fails while no voter that may lead answers; the next tick retries.
            let _ = self.start_transfer(None, deadline);
        }
        if self.may_change_membership()
            && let Some(next) = self.next_membership_change()
        {
            let _ = self.change_membership(next, now);
        }
    }

    /// Steps down if the leader lease has lapsed, and returns whether it did. It runs before each
    /// operation that may extend the lease: users of the leadership drop their state in a lapse and
    /// tell two periods apart by their epochs.
    pub(super) fn step_down_after_lapse(&mut self, now: Instant) -> bool {
        let lapsed = self.role == Role::Leader && !self.has_recent_majority(now);
        if lapsed {
            self.step_down(now);
        }
        lapsed
    }

    /// Returns the next membership change that follows from the replies of the peers: the
    /// re-admission of a new incarnation, the promotion of a returning voter, or the addition of a
    /// requested learner.
    fn next_membership_change(&self) -> Option<Membership> {
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
        for host in &self.requested_learners {
            let identity = self.peers.get(host).and_then(|peer| peer.identity.as_ref());
            let Some(identity) =
                identity.filter(|seen| seen.group == 0 || seen.group == self.hard_state.group)
            else {
                continue;
            };
            if membership.get(host).is_none() {
                return Some(membership.with(Member {
                    host: host.clone(),
                    incarnation: identity.incarnation,
                    role: MemberRole::Learner,
                }));
            }
        }
        None
    }

    /// Returns whether entries are not durable yet.
    pub(super) fn has_unsynced(&self) -> bool {
        self.fault.is_none() && self.durable.1 < self.log.last_index()
    }

    /// Writes the entries that are not written yet; the caller runs the sync itself.
    pub(super) fn begin_sync(&mut self) -> Option<PendingSync> {
        let begun = self.storage.begin_sync();
        let job = self.ok_or_fail(begun)??;
        Some(PendingSync {
            job,
            last_index: self.log.last_index(),
            generation: self.sync_generation,
        })
    }

    /// Records the result of a sync and advances the commit index.
    pub(super) fn finish_sync(
        &mut self,
        sync: &PendingSync,
        result: Result<(), StorageError>,
        now: Instant,
    ) {
        if self.ok_or_fail(result).is_none() || sync.generation != self.sync_generation {
            return;
        }
        self.mark_durable(self.durable.1.max(sync.last_index));
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }
}
