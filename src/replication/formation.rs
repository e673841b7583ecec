//! Formation of a new group.
//!
//! The first of the initial voters asks the others who they are. When all of them are present and
//! have no state, it forms the group with their incarnations. A voter that has state belongs to a
//! group, which has to re-admit the others instead.

use std::time::{Instant, SystemTime};

use rand::RngExt;

use super::log::{Log, Term};
use super::membership::{Member, MemberRole, Membership};
use super::message::{GroupId, Reply};
use super::state::State;
use super::storage::{Formation, Snapshot};
use crate::ids::Incarnation;

/// Index that the initial state of a group takes; entries follow it.
pub(super) const FORMATION_INDEX: u64 = 1;

impl<T> State<T> {
    /// Whether this host asks the others and decides on the formation.
    pub(super) fn is_founder(&self) -> bool {
        self.hard.group == 0 && self.options.initial_voters.iter().min() == Some(&self.options.host)
    }

    /// Wall clock in Unix milliseconds.
    pub(super) fn wall_ms(&self) -> u64 {
        let wall = self.options.clock.wall();
        let age = wall.duration_since(SystemTime::UNIX_EPOCH);
        age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Forms the group when every initial voter answered recently and has no state.
    pub(super) fn form_if_all_present(&mut self, now: Instant) {
        if !self.is_founder() {
            return;
        }
        let oldest = self.options.timing.election_timeout;
        let mut term = self.wall_ms();
        let mut membership = Membership::default();
        for host in &self.options.initial_voters {
            let incarnation = if *host == self.options.host {
                self.hard.incarnation
            } else {
                let presence = self.peers.get(host).and_then(|peer| peer.presence.clone());
                let fresh = presence.filter(|seen| seen.group == 0 && now < seen.sent_at + oldest);
                let Some(presence) = fresh else {
                    return;
                };
                term = term.max(presence.wall_ms);
                presence.incarnation
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

    /// After a formation the other voters have to be told of it.
    pub(super) fn mark_unformed_peers(&mut self) {
        if self.hard.group == 0 || self.log.last_index() != FORMATION_INDEX {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.needs_form = true;
        }
    }

    /// Takes up the initial state of a group. The first term is the wall clock, so that the terms
    /// of a group that replaces a lost one are larger than those of the lost one.
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
        if self.checked(saved).is_none() {
            return false;
        }
        self.snapshot = snapshot;
        self.log = Log::new(FORMATION_INDEX, term, self.snapshot.membership.clone());
        self.commit = FORMATION_INDEX;
        self.applied = FORMATION_INDEX;
        self.durable = FORMATION_INDEX;
        self.sync_generation += 1;
        self.hard.group = group;
        self.hard.term = self.hard.term.max(term);
        if !self.save_hard_state() {
            return false;
        }
        self.update_peers();
        true
    }

    /// Joins a group that was formed with this incarnation.
    pub(super) fn handle_form(
        &mut self,
        group: GroupId,
        term: Term,
        membership: Membership,
        now: Instant,
    ) -> Reply {
        let chosen = membership.is_voter(&self.options.host, self.hard.incarnation);
        if self.hard.group != 0 || group == 0 || !chosen {
            return Reply::Rejected;
        }
        if !self.join_new_group(group, term, membership) {
            return Reply::Rejected;
        }
        self.reset_election_deadline(now);
        Reply::Accepted
    }

    /// Leaves a group that never had a committed entry, when the leader of another group calls.
    /// Two groups can be formed when the founder restarts without storage in between.
    pub(super) fn abandon_unused_group(&mut self) {
        if self.log.last_index() != FORMATION_INDEX {
            return;
        }
        log::warn!(
            "{} leaves an unused group of {}",
            self.options.host,
            self.options.group
        );
        self.hard.group = 0;
        self.hard.incarnation = self.rng.random_range(1..=Incarnation::MAX);
        self.hard.voted_for = None;
        self.snapshot = Snapshot::default();
        self.log = Log::new(0, 0, Membership::default());
        self.commit = 0;
        self.applied = 0;
        self.durable = 0;
        if self.save_hard_state() {
            self.update_peers();
        }
    }
}
