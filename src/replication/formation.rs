//! Formation of a new group.
//!
//! The first of the initial voters, by host identifier, asks the others for their incarnations.
//! When all of them answer and have no state, it forms the group with their incarnations. A voter
//! that has state belongs to a group already, which has to re-admit the others instead.

use std::time::{Instant, SystemTime};

use rand::RngExt;

use super::log::{Log, Term};
use super::membership::{Member, MemberRole, Membership};
use super::message::{GroupId, Reply};
use super::state::State;
use super::storage::{Formation, Snapshot};
use crate::ids::Incarnation;

/// Index of the initial state of a group; the first entry has the next index.
pub(super) const FORMATION_INDEX: u64 = 1;

impl<T> State<T> {
    /// Returns whether this host coordinates the formation of the group.
    pub(super) fn coordinates_formation(&self) -> bool {
        self.may_join_new_group()
            && self.options.initial_voters.iter().min() == Some(&self.options.host)
    }

    /// Returns whether this host has no group and its state machine is empty. The state machine holds
    /// the state of a group that this host has not joined when the storage failed before it had
    /// saved the snapshot of that group.
    fn may_join_new_group(&self) -> bool {
        self.hard_state.group == 0 && self.applied <= FORMATION_INDEX
    }

    /// Returns the wall clock in Unix milliseconds.
    pub(super) fn wall_ms(&self) -> u64 {
        let wall = self.options.clock.wall();
        let age = wall.duration_since(SystemTime::UNIX_EPOCH);
        age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Forms the group when every initial voter answered within the election timeout and has no
    /// state.
    pub(super) fn form_if_all_present(&mut self, now: Instant) {
        if !self.coordinates_formation() {
            return;
        }
        let max_age = self.options.timing.election_timeout;
        let mut term = self.wall_ms();
        let mut membership = Membership::default();
        for host in &self.options.initial_voters {
            let incarnation = if *host == self.options.host {
                self.hard_state.incarnation
            } else {
                let identity = self.peers.get(host).and_then(|peer| peer.identity.clone());
                let fresh = identity.filter(|seen| seen.group == 0 && now < seen.sent_at + max_age);
                let Some(identity) = fresh else {
                    return;
                };
                term = term.max(identity.wall_ms);
                identity.incarnation
            };
            membership = membership.with(Member {
                host: host.clone(),
                incarnation,
                role: MemberRole::Voter,
            });
        }
        let group: GroupId = self.rng.random_range(1..=GroupId::MAX);
        if self.join_new_group(group, term, membership) {
            log::info!("formed the group of {}", self.options.group);
            self.mark_unformed_peers();
            self.election_deadline = now;
        }
    }

    /// Schedules a [`Request::Form`](super::message::Request::Form) call to every peer while the log
    /// has no entry after the formation.
    pub(super) fn mark_unformed_peers(&mut self) {
        if self.hard_state.group == 0 || self.log.last_index() != FORMATION_INDEX {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.needs_form = true;
        }
    }

    /// Stores the initial state of a group. The first term is taken from the wall clock, so that a
    /// group that replaces a lost one has larger terms than the lost one. Returns whether the state
    /// is durable.
    fn join_new_group(&mut self, group: GroupId, term: Term, membership: Membership) -> bool {
        let snapshot = Snapshot {
            group,
            index: FORMATION_INDEX,
            term,
            membership: membership.clone(),
            state: None,
            formation: Formation { term, membership },
        };
        let saved = self.storage.save_snapshot(&snapshot, &[]);
        if self.ok_or_fail(saved).is_none() {
            return false;
        }
        self.snapshot = snapshot;
        self.log = Log::new(FORMATION_INDEX, term, self.snapshot.membership.clone());
        self.commit = FORMATION_INDEX;
        self.applied = FORMATION_INDEX;
        self.mark_durable(FORMATION_INDEX);
        self.sync_generation += 1;
        self.hard_state.group = group;
        self.hard_state.term = self.hard_state.term.max(term);
        if !self.save_hard_state() {
            return false;
        }
        self.update_peers();
        true
    }

    /// Joins a group that was formed with this incarnation as voter.
    pub(super) fn handle_form(
        &mut self,
        group: GroupId,
        term: Term,
        membership: Membership,
        now: Instant,
    ) -> Reply {
        let is_voter = membership.is_voter(&self.options.host, self.hard_state.incarnation);
        if !self.may_join_new_group() || group == 0 || !is_voter {
            return Reply::Rejected;
        }
        if !self.join_new_group(group, term, membership) {
            return Reply::Rejected;
        }
        self.reset_election_deadline(now);
        Reply::Accepted
    }

    /// Leaves a group without any entry, hence without a committed one, when the leader of another
    /// group calls. Two groups can be formed when the coordinator restarts without its storage
    /// during the formation.
    pub(super) fn abandon_unused_group(&mut self) {
        if self.log.last_index() != FORMATION_INDEX {
            return;
        }
        log::warn!(
            "{} leaves a group of {} that has no entries",
            self.options.host,
            self.options.group
        );
        self.hard_state.group = 0;
        self.hard_state.incarnation = self.rng.random_range(1..=Incarnation::MAX);
        self.hard_state.voted_for = None;
        self.snapshot = Snapshot::default();
        self.log = Log::new(0, 0, Membership::default());
        self.commit = 0;
        self.applied = 0;
        self.durable = (0, 0);
        if self.save_hard_state() {
            self.update_peers();
        }
    }
}
