//! Pre-votes, votes and the transition from candidate to leader.

use std::time::Instant;

use super::log::{Index, Payload, Term};
use super::message::{Reply, VotePhase};
use super::state::{Role, State};
use crate::ids::Incarnation;

/// Election timeouts for which a witness waits for another host to be elected.
const WITNESS_WAIT_TIMEOUTS: u32 = 3;

impl<T> State<T> {
    /// Starts an election when the election deadline has passed without contact to a leader.
    pub(super) fn campaign_if_due(&mut self, now: Instant) {
        if now < self.election_deadline || !self.is_voter() {
            return;
        }
        // A witness starts an election only after it refused a vote because the candidate's log
        // was behind its own, or when no other host has started one. In the second case its vote
        // requests also inform voters that missed the formation.
        let witness_wait = self.options.timing.election_timeout * WITNESS_WAIT_TIMEOUTS;
        let must_campaign = self.witness_campaign_until.is_some_and(|until| now < until)
            || now >= self.election_deadline + witness_wait;
        if !self.options.may_lead && !must_campaign {
            return;
        }
        self.leader = None;
        self.campaign(VotePhase::Pre, now);
    }

    /// Becomes a candidate and requests votes of the given kind.
    pub(super) fn campaign(&mut self, phase: VotePhase, now: Instant) {
        if phase != VotePhase::Pre {
            self.hard_state.term += 1;
            self.hard_state.voted_for =
                Some((self.options.host.clone(), self.hard_state.incarnation));
            if !self.save_hard_state() {
                return;
            }
        }
        self.role = Role::Candidate(phase);
        self.reset_election_deadline(now);
        for peer in self.peers.values_mut() {
            peer.vote = None;
            peer.retry_at = None;
        }
        self.count_votes(now);
    }

    /// Starts the real election after a pre-vote, or becomes leader, once a majority has granted
    /// its votes.
    pub(super) fn count_votes(&mut self, now: Instant) {
        let Role::Candidate(phase) = self.role else {
            return;
        };
        let granted = self.log.membership().has_majority(|member| {
            let peer = self.peers.get(&member.host);
            member.host == self.options.host || peer.is_some_and(|peer| peer.vote == Some(true))
        });
        if !granted {
            return;
        }
        match phase {
            VotePhase::Pre => self.campaign(VotePhase::Real, now),
            VotePhase::Real | VotePhase::Transfer => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: Instant) {
        log::info!(
            "{} leads {} in term {}",
            self.options.host,
            self.options.group,
            self.hard_state.term
        );
        self.role = Role::Leader;
        self.leader = Some(self.options.host.clone());
        self.witness_campaign_until = None;
        self.transfer = None;
        self.term_start = self.log.last_index() + 1;
        for peer in self.peers.values_mut() {
            peer.reset_for_term(self.term_start);
            if peer.vote != Some(true) {
                peer.acked_at = None;
            }
        }
        self.append_as_leader(Payload::Noop, now);
    }

    /// Returns whether a leader was active within the election timeout.
    fn has_active_leader(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.has_recent_majority(now);
        }
        let timeout = self.options.timing.election_timeout;
        self.heard_leader_at
            .is_some_and(|heard| now < heard + timeout)
    }

    /// Replies to a vote request of a host in the same group.
    ///
    /// The candidate asks the voters of its own membership, by incarnation. This replica does not
    /// check its own membership, which may lack the entry that made this host a voter. A refusal
    /// would then leave the group without a leader when the host that appended the entry is lost.
    pub(super) fn handle_vote(
        &mut self,
        candidate: (&str, Incarnation),
        term: Term,
        phase: VotePhase,
        last: (Index, Term),
        now: Instant,
    ) -> Reply {
        if phase != VotePhase::Transfer && self.has_active_leader(now) {
            return Reply::Vote { granted: false };
        }
        let up_to_date = (last.1, last.0) >= (self.log.last_term(), self.log.last_index());
        if !up_to_date && !self.options.may_lead {
            // This witness may be the only available voter with the latest committed entries. It
            // then has to be elected in order to replicate them.
            let witness_wait = self.options.timing.election_timeout * WITNESS_WAIT_TIMEOUTS;
            self.witness_campaign_until = Some(now + witness_wait);
        }
        if phase == VotePhase::Pre {
            return Reply::Vote {
                granted: up_to_date && term > self.hard_state.term,
            };
        }
        if !self.adopt_term(term, now) {
            return Reply::Rejected;
        }
        let candidate = (candidate.0.to_owned(), candidate.1);
        let vote_available = match &self.hard_state.voted_for {
            Some(chosen) => *chosen == candidate,
            None => true,
        };
        if term < self.hard_state.term || !up_to_date || !vote_available {
            return Reply::Vote { granted: false };
        }
        if self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(candidate);
            if !self.save_hard_state() {
                return Reply::Rejected;
            }
        }
        self.reset_election_deadline(now);
        Reply::Vote { granted: true }
    }
}
