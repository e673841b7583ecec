//! Calls to other hosts: what to send next, and what a reply changes.

use std::time::{Duration, Instant};

use super::log::{Index, Term};
use super::membership::MemberRole;
use super::message::{Reply, ReplyEnvelope, Request, RequestEnvelope, VotePhase, decode, encode};
use super::peer::{CallKind, Outgoing, Peer, Prepared, Presence};
use super::state::{Role, State};

/// Bound of the wait for a change, in case a wake-up is lost.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Heartbeat intervals between calls to a learner that knows all commits. A learner elects nobody,
/// and a leader with many learners must stay within its share of control traffic.
const LEARNER_INTERVALS: u32 = 5;
/// A single voter does not lose its leadership when its timer thread is late.
const OWN_ANSWER_LASTS: Duration = Duration::from_secs(24 * 60 * 60);

impl<T> State<T> {
    /// Chooses the next call to a host.
    pub(super) fn prepare(&mut self, host: &str, now: Instant) -> Prepared {
        let Some(peer) = self.peers.get(host) else {
            return Prepared::Gone;
        };
        let later = Prepared::WaitUntil(now + LONGEST_WAIT);
        if peer.in_flight || self.fault.is_some() {
            return later;
        }
        if let Some(retry_at) = peer.retry_at.filter(|retry_at| now < *retry_at) {
            return Prepared::WaitUntil(retry_at);
        }
        if peer.needs_form
            && let Some((kind, request)) = self.form_request()
        {
            let term = self.snapshot.formation.term;
            return self.outgoing(host, kind, term, request, now);
        }
        match self.role {
            Role::Leader => self.prepare_as_leader(host, now),
            Role::Candidate(phase) => match self.vote_request(host, phase) {
                Some((term, request)) => {
                    self.outgoing(host, CallKind::Vote(phase), term, request, now)
                }
                None => later,
            },
            Role::Follower if self.is_founder() => self.prepare_hello(host, now),
            Role::Follower => later,
        }
    }

    fn outgoing(
        &mut self,
        host: &str,
        kind: CallKind,
        term: Term,
        body: Request,
        now: Instant,
    ) -> Prepared {
        let timing = &self.options.timing;
        let peer = &mut self.peers[host];
        let envelope = RequestEnvelope {
            group: self.hard.group,
            from_incarnation: self.hard.incarnation,
            to_incarnation: peer.incarnation.unwrap_or(0),
            term,
            body,
        };
        peer.in_flight = true;
        peer.sent_at = Some(now);
        let bytes = encode(&envelope);
        // A lost call must leave time for another one within the election timeout, but entries
        // and chunks need their time on a slow link.
        let timeout = match bytes.len() {
            0..4096 => timing.heartbeat_interval * 2,
            _ => timing.election_timeout,
        };
        Prepared::Send(Outgoing {
            host: host.to_owned(),
            bytes,
            sent_at: now,
            deadline: now + timeout,
            term: self.hard.term,
            to_incarnation: envelope.to_incarnation,
            kind,
        })
    }

    fn prepare_hello(&mut self, host: &str, now: Instant) -> Prepared {
        let due = self.heartbeat_due(host);
        if let Some(due) = due.filter(|due| now < *due) {
            return Prepared::WaitUntil(due);
        }
        self.outgoing(host, CallKind::Hello, self.hard.term, Request::Hello, now)
    }

    fn heartbeat_due(&self, host: &str) -> Option<Instant> {
        let peer = self.peers.get(host)?;
        let member = self.log.membership().get(host);
        let learns = member.is_some_and(|member| member.role == MemberRole::Learner);
        let intervals = if learns && peer.sent_commit >= self.commit {
            LEARNER_INTERVALS
        } else {
            1
        };
        Some(peer.sent_at? + self.options.timing.heartbeat_interval * intervals)
    }

    fn vote_request(&self, host: &str, phase: VotePhase) -> Option<(Term, Request)> {
        let peer = self.peers.get(host)?;
        let voter = self
            .log
            .membership()
            .is_voter(host, peer.incarnation.unwrap_or(0));
        if !voter || peer.vote.is_some() {
            return None;
        }
        let term = self.hard.term + u64::from(phase == VotePhase::Pre);
        let request = Request::Vote {
            phase,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        Some((term, request))
    }

    fn prepare_as_leader(&mut self, host: &str, now: Instant) -> Prepared {
        let peer = &self.peers[host];
        if peer.incarnation.is_none() {
            return self.prepare_hello(host, now);
        }
        let (next_index, match_index) = (peer.next_index, peer.match_index);
        let last_index = self.log.last_index();
        let term = self.hard.term;
        let handing_over = self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.target == host);
        if handing_over && match_index == last_index {
            return self.outgoing(host, CallKind::CampaignNow, term, Request::CampaignNow, now);
        }
        if next_index <= self.log.base_index() {
            let (kind, request) = self.snapshot_request(host);
            return self.outgoing(host, kind, term, request, now);
        }
        let untold = self.options.timing.announces_commits && peer.told_commit < self.commit;
        if next_index > last_index
            && !untold
            && let Some(due) = self.heartbeat_due(host).filter(|due| now < *due)
        {
            return Prepared::WaitUntil(due);
        }
        let (kind, request) = self.append_request(next_index);
        self.peers[host].sent_commit = self.commit;
        self.outgoing(host, kind, term, request, now)
    }

    fn append_request(&self, next_index: Index) -> (CallKind, Request) {
        let prev_index = next_index - 1;
        let prev_term = self.log.term_at(prev_index).unwrap_or(0);
        let limit = self.options.limits.max_batch_bytes;
        let entries = self.log.batch(next_index, limit);
        let kind = CallKind::Append {
            last_index: prev_index + entries.len() as u64,
            commit: self.commit,
        };
        let request = Request::Append {
            prev_index,
            prev_term,
            commit: self.commit,
            entries,
        };
        (kind, request)
    }

    /// Takes the reply to a call, or `None` when none arrived.
    pub(super) fn complete(&mut self, call: &Outgoing, reply: Option<&[u8]>, now: Instant) {
        let retry_at = now + self.options.timing.heartbeat_interval;
        let Some(peer) = self.peers.get_mut(&call.host) else {
            return;
        };
        peer.in_flight = false;
        let reply: Option<ReplyEnvelope> = reply.and_then(decode);
        let Some(reply) = reply else {
            peer.retry_at = Some(retry_at);
            return;
        };
        if self.fault.is_some() || call.to_incarnation != peer.incarnation.unwrap_or(0) {
            return;
        }
        peer.may_lead = reply.may_lead;
        if let (CallKind::Hello, Reply::Hello { wall_ms }) = (call.kind, &reply.body) {
            peer.presence = Some(Presence {
                incarnation: reply.incarnation,
                group: reply.group,
                wall_ms: *wall_ms,
                sent_at: call.sent_at,
            });
            return;
        }
        if reply.incarnation != call.to_incarnation {
            // It lost its storage, or a leader that has gone re-admitted it without a majority.
            let admissible = reply.group == 0 || reply.group == self.hard.group;
            peer.replaced_by = admissible.then_some(reply.incarnation);
            peer.retry_at = Some(retry_at);
            return;
        }
        if reply.group != 0 && reply.group != self.hard.group {
            log::debug!("{} belongs to another group", call.host);
            peer.retry_at = Some(retry_at);
            return;
        }
        if reply.term > self.hard.term {
            self.adopt_term(reply.term, now);
            return;
        }
        if call.term == self.hard.term {
            self.complete_in_term(call, &reply, now);
        }
    }

    fn complete_in_term(&mut self, call: &Outgoing, reply: &ReplyEnvelope, now: Instant) {
        let leading = self.role == Role::Leader;
        let retry_at = now + self.options.timing.heartbeat_interval;
        let last_index = self.log.last_index();
        let peer = &mut self.peers[call.host.as_str()];
        match (call.kind, &reply.body) {
            (CallKind::Vote(phase), Reply::Vote { granted }) => {
                if self.role == Role::Candidate(phase) {
                    peer.vote = Some(*granted);
                    peer.acked_at = Some(call.sent_at);
                    self.count_votes(now);
                }
            }
            (CallKind::Form, body) => {
                peer.needs_form = false;
                peer.retry_at = (*body != Reply::Accepted).then_some(retry_at);
            }
            (CallKind::Append { last_index, commit }, Reply::Appended { index }) if leading => {
                let matched = (*index).min(last_index);
                peer.told_commit = commit;
                acknowledge(peer, call.sent_at, matched, commit);
                self.advance_commit(now);
            }
            (CallKind::Append { .. }, Reply::Mismatch { next_index }) if leading => {
                peer.acked_at = Some(call.sent_at);
                peer.next_index = (*next_index).clamp(peer.match_index + 1, last_index + 1);
            }
            (CallKind::Snapshot { index, total_bytes }, Reply::Received { offset }) if leading => {
                peer.snapshot_offset = *offset;
                if *offset >= total_bytes {
                    acknowledge(peer, call.sent_at, index, Index::MAX);
                    self.advance_commit(now);
                } else {
                    peer.acked_at = Some(call.sent_at);
                }
            }
            (_, Reply::Rejected) if reply.group == 0 => {
                // The host has no state. The leader sends a snapshot; before there is a leader,
                // the host may have missed the formation.
                peer.needs_form = !leading;
                peer.next_index = 1;
                let repeated = matches!(call.kind, CallKind::Snapshot { .. });
                peer.retry_at = repeated.then_some(retry_at);
            }
            _ => peer.retry_at = Some(retry_at),
        }
    }

    /// Commits what a majority has stored. Entries of former terms are committed only together
    /// with one of this term, since a majority alone does not protect them.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        if self.role != Role::Leader {
            return;
        }
        let stored = self.log.membership().majority_value(|member| {
            if member.host == self.options.host {
                return self.durable;
            }
            let peer = self.peers.get(&member.host);
            peer.map_or(0, |peer| peer.match_index)
        });
        if stored > self.commit && self.log.term_at(stored) == Some(self.hard.term) {
            self.commit = stored;
            self.apply_committed(now);
        }
    }

    /// Whether a majority answered calls that were sent within the election timeout.
    pub(super) fn has_fresh_majority(&self, now: Instant) -> bool {
        self.majority_until(now).is_some_and(|until| now < until)
    }

    /// End of the election timeout after the latest call that a majority has answered.
    pub(super) fn majority_until(&self, now: Instant) -> Option<Instant> {
        let membership = self.log.membership();
        let mut answered: Vec<Option<Instant>> = membership
            .voters()
            .map(|member| {
                if member.host == self.options.host {
                    return Some(now + OWN_ANSWER_LASTS);
                }
                self.peers.get(&member.host)?.acked_at
            })
            .collect();
        answered.sort_unstable_by(|left, right| right.cmp(left));
        let latest = *answered.get(answered.len() / 2)?;
        Some(latest? + self.options.timing.election_timeout)
    }
}

fn acknowledge(peer: &mut Peer, sent_at: Instant, matched: Index, committed: Index) {
    peer.acked_at = Some(sent_at);
    peer.match_index = peer.match_index.max(matched);
    peer.next_index = peer.match_index + 1;
    peer.caught_up = peer.caught_up || peer.match_index >= committed;
}
