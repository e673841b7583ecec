//! Handling of calls from other hosts.

use std::time::Instant;

use super::log::{Entry, Index, Term};
use super::message::{Reply, ReplyEnvelope, Request, RequestEnvelope, VotePhase, decode, encode};
use super::state::{Role, State};
use crate::ids::Incarnation;

impl<T> State<T> {
    /// Returns the encoded reply to a call.
    pub(super) fn handle(&mut self, from: &str, bytes: &[u8], now: Instant) -> Vec<u8> {
        if !self.was_opened() {
            // Without its storage, this host does not know its identity; the caller gets no reply.
            return Vec::new();
        }
        let body = match decode::<RequestEnvelope>(bytes) {
            Some(envelope) => self.dispatch(from, envelope, now),
            None => Reply::Rejected,
        };
        encode(&ReplyEnvelope {
            group: self.hard_state.group,
            incarnation: self.hard_state.incarnation,
            term: self.hard_state.term,
            may_lead: self.options.may_lead,
            // After a failed write or sync nothing may be acknowledged.
            body: if self.fault.is_some() {
                Reply::Rejected
            } else {
                body
            },
        })
    }

    fn dispatch(&mut self, from: &str, envelope: RequestEnvelope, now: Instant) -> Reply {
        if self.fault.is_some() {
            return Reply::Rejected;
        }
        if envelope.body == Request::Hello {
            return Reply::Hello {
                wall_ms: self.wall_ms(),
            };
        }
        if envelope.to_incarnation != self.hard_state.incarnation || envelope.group == 0 {
            return Reply::Rejected;
        }
        let RequestEnvelope {
            group, term, body, ..
        } = envelope;
        if let Request::Form { membership } = body {
            return self.handle_form(group, term, membership, now);
        }
        let from_leader = !matches!(body, Request::Vote { .. });
        if self.hard_state.group != 0 && self.hard_state.group != group {
            if from_leader {
                self.abandon_unused_group();
            }
            return Reply::Rejected;
        }
        if self.hard_state.group == 0 && !matches!(body, Request::Snapshot { .. }) {
            return Reply::Rejected;
        }
        if from_leader && !self.accept_leader(from, term, now) {
            return Reply::Rejected;
        }
        self.handle_in_group((from, envelope.from_incarnation), group, term, body, now)
    }

    fn handle_in_group(
        &mut self,
        from: (&str, Incarnation),
        group: u64,
        term: Term,
        body: Request,
        now: Instant,
    ) -> Reply {
        match body {
            Request::Vote {
                phase,
                last_index,
                last_term,
            } => self.handle_vote(from, term, phase, (last_index, last_term), now),
            Request::Append {
                prev_index,
                prev_term,
                commit,
                entries,
            } => self.handle_append((prev_index, prev_term), commit, entries, now),
            Request::Snapshot { .. } => self.handle_snapshot(group, term, body, now),
            Request::CampaignNow if self.options.may_lead && self.is_voter() => {
                self.campaign(VotePhase::Transfer, now);
                Reply::Accepted
            }
            Request::CampaignNow | Request::Hello | Request::Form { .. } => Reply::Rejected,
        }
    }

    /// Accepts the sender as leader of the term, unless the term is outdated or this host leads
    /// the same term. Returns whether the sender was accepted.
    fn accept_leader(&mut self, from: &str, term: Term, now: Instant) -> bool {
        if term < self.hard_state.term || !self.adopt_term(term, now) {
            return false;
        }
        if self.role == Role::Leader {
            log::error!(
                "{from} claims to lead {} in a term that this host leads",
                self.options.group
            );
            return false;
        }
        self.role = Role::Follower;
        if self.leader.as_deref() != Some(from) {
            self.leader = Some(from.to_owned());
        }
        self.heard_leader_at = Some(now);
        self.witness_campaign_until = None;
        self.reset_election_deadline(now);
        true
    }

    fn handle_append(
        &mut self,
        prev: (Index, Term),
        leader_commit: Index,
        entries: Vec<Entry>,
        now: Instant,
    ) -> Reply {
        let consecutive = (prev.0 + 1..)
            .zip(&entries)
            .all(|(index, entry)| entry.index == index);
        if !consecutive {
            return Reply::Rejected;
        }
        if prev.0 > self.log.last_index() {
            return Reply::Mismatch {
                next_index: self.log.last_index() + 1,
            };
        }
        // Entries up to the base are covered by a snapshot, so they are committed and match.
        if prev.0 >= self.log.base_index() && self.log.term_at(prev.0) != Some(prev.1) {
            return Reply::Mismatch {
                next_index: self.first_index_of_term(prev.0),
            };
        }
        let matched = prev.0 + entries.len() as u64;
        if !self.store(entries) {
            return Reply::Rejected;
        }
        self.commit = self.commit.max(leader_commit.min(matched));
        self.apply_committed(now);
        Reply::Appended { index: matched }
    }

    /// Returns the first index of the term of the entry at `index`, but at least the index after
    /// the commit index. The leader sends from there, which skips one term with each call.
    fn first_index_of_term(&self, index: Index) -> Index {
        let term = self.log.term_at(index);
        let mut first = index;
        while first > self.commit + 1 && self.log.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Stores the entries that are missing or conflict; they are durable on return. Returns whether
    /// that succeeded.
    fn store(&mut self, entries: Vec<Entry>) -> bool {
        let mut missing = entries.into_iter().skip_while(|entry| {
            entry.index <= self.log.base_index()
                || self.log.term_at(entry.index) == Some(entry.term)
        });
        let Some(first) = missing.next() else {
            // The entries of an earlier call may not be synced yet.
            return !self.has_unsynced() || self.sync_now();
        };
        if first.index <= self.commit {
            self.stop(&format!(
                "the leader sent another entry for the committed index {}",
                first.index
            ));
            return false;
        }
        let new: Vec<Entry> = std::iter::once(first).chain(missing).collect();
        self.storage.append(&new);
        for entry in new {
            self.log.truncate_and_append(entry);
        }
        self.sync_generation += 1;
        self.update_peers();
        self.sync_now()
    }
}
