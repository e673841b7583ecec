//! Pre-votes, votes and the change of roles.

use std::time::Instant;

use super::log::{Index, Payload, Term};
use super::message::{Reply, VotePhase};
use super::state::{Role, State};
use crate::ids::Incarnation;

/// Election timeouts that a host which may not lead waits for another host to be elected.
const CARETAKER_PATIENCE: u32 = 3;

impl<T> State<T> {
    /// Starts an election when no leader was heard for long enough.
    pub(super) fn campaign_if_due(&mut self, now: Instant) {
        if now < self.election_deadline || !self.is_voter() {
            return;
        }
        // A host that may not lead starts an election when it refused a vote for a good reason,
        // or when nobody else does; voters that missed the formation learn of it that way.
        let patience = self.options.timing.election_timeout * CARETAKER_PATIENCE;
        let needed = self.caretaker_until.is_some_and(|until| now < until)
            || now >= self.election_deadline + patience;
        if !self.options.may_lead && !needed {
            return;
        }
        self.leader = None;
        self.campaign(VotePhase::Pre, now);
    }

    /// Starts a round of an election.
    pub(super) fn campaign(&mut self, phase: VotePhase, now: Instant) {
        if phase != VotePhase::Pre {
            self.hard.term += 1;
            self.hard.voted_for = Some((self.options.host.clone(), self.hard.incarnation));
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

    /// Goes on to the next phase once a majority has agreed.
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
            self.hard.term
        );
        self.role = Role::Leader;
        self.leader = Some(self.options.host.clone());
        self.caretaker_until = None;
        self.transfer = None;
        self.term_start = self.log.last_index() + 1;
        for peer in self.peers.values_mut() {
            peer.start_term(self.term_start);
            if peer.vote != Some(true) {
                peer.acked_at = None;
            }
        }
        self.append_own(Payload::Noop, now);
    }

    /// Whether an active leader makes an election needless.
    fn has_active_leader(&self, now: Instant) -> bool {
        if self.role == Role::Leader {
            return self.has_fresh_majority(now);
        }
        let timeout = self.options.timing.election_timeout;
        self.heard_leader_at
            .is_some_and(|heard| now < heard + timeout)
    }

    /// Replies to a vote request of a host in the same group.
    ///
    /// The candidate asks the voters of its own membership, by incarnation. This replica does not
    /// consult its own: it may lack the entry that made it a voter, and refusing would then leave
    /// the group without a leader when the host that appended the entry is lost.
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
            // Only this host may have the latest committed entries, so it must be elected once to
            // pass them on.
            let patience = self.options.timing.election_timeout * CARETAKER_PATIENCE;
            self.caretaker_until = Some(now + patience);
        }
        if phase == VotePhase::Pre {
            return Reply::Vote {
                granted: up_to_date && term > self.hard.term,
            };
        }
        if !self.adopt_term(term, now) {
            return Reply::Rejected;
        }
        let candidate = (candidate.0.to_owned(), candidate.1);
        let free = match &self.hard.voted_for {
            Some(chosen) => *chosen == candidate,
            None => true,
        };
        if term < self.hard.term || !up_to_date || !free {
            return Reply::Vote { granted: false };
        }
        if self.hard.voted_for.is_none() {
            self.hard.voted_for = Some(candidate);
            if !self.save_hard_state() {
                return Reply::Rejected;
            }
        }
        self.reset_election_deadline(now);
        Reply::Vote { granted: true }
    }
}
