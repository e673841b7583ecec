//! Calls to other hosts: the choice of the next call, and the handling of its reply.

use std::time::{Duration, Instant};

use super::log::{Index, Term};
use super::membership::MemberRole;
use super::message::{Reply, ReplyEnvelope, Request, RequestEnvelope, VotePhase, decode, encode};
use super::peer::{CallKind, NextAction, OutgoingCall, Peer, PeerIdentity};
use super::state::{Role, State};

/// Longest wait of a peer thread for a change, in case a notification is lost.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Heartbeat intervals between calls to a learner that has received the commit index. A learner
/// starts no elections, and a leader with many learners must stay within its limit of control
/// traffic.
const LEARNER_HEARTBEAT_INTERVALS: u32 = 5;
/// Validity of the leader's own acknowledgement. It is long enough that a single voter keeps its
/// leadership when its timer thread is late.
const SELF_ACK_VALIDITY: Duration = Duration::from_secs(24 * 60 * 60);

impl<T> State<T> {
    /// Returns the next call to a host, or the time until which no call is due.
    pub(super) fn prepare_call(&mut self, host: &str, now: Instant) -> NextAction {
        let Some(peer) = self.peers.get(host) else {
            return NextAction::Removed;
        };
        let later = NextAction::WaitUntil(now + MAX_WAIT);
        if peer.in_flight || self.fault.is_some() {
            return later;
        }
        if let Some(retry_at) = peer.retry_at.filter(|retry_at| now < *retry_at) {
            return NextAction::WaitUntil(retry_at);
        }
        if peer.needs_form
            && let Some((kind, request)) = self.form_request()
        {
            let term = self.snapshot.formation.term;
            return self.begin_call(host, kind, term, request, now);
        }
        match self.role {
            Role::Leader => self.prepare_leader_call(host, now),
            Role::Candidate(phase) => match self.vote_request(host, phase) {
                Some((term, request)) => {
                    self.begin_call(host, CallKind::Vote(phase), term, request, now)
                }
                None => later,
            },
            Role::Follower if self.coordinates_formation() => self.prepare_hello(host, now),
            Role::Follower => later,
        }
    }

    fn begin_call(
        &mut self,
        host: &str,
        kind: CallKind,
        term: Term,
        body: Request,
        now: Instant,
    ) -> NextAction {
        let timing = &self.options.timing;
        let peer = &mut self.peers[host];
        let envelope = RequestEnvelope {
            group: self.hard_state.group,
            from_incarnation: self.hard_state.incarnation,
            to_incarnation: peer.incarnation.unwrap_or(0),
            term,
            body,
        };
        peer.in_flight = true;
        peer.sent_at = Some(now);
        let bytes = encode(&envelope);
        // After the loss of a small call, such as a heartbeat, a second one must fit into the
        // election timeout. Entries and snapshot chunks need more time on a slow link.
        let timeout = match bytes.len() {
            0..4096 => timing.heartbeat_interval * 2,
            _ => timing.election_timeout,
        };
        NextAction::Send(OutgoingCall {
            host: host.to_owned(),
            bytes,
            sent_at: now,
            deadline: now + timeout,
            term: self.hard_state.term,
            to_incarnation: envelope.to_incarnation,
            kind,
        })
    }

    fn prepare_hello(&mut self, host: &str, now: Instant) -> NextAction {
        let due = self.heartbeat_due(host);
        if let Some(due) = due.filter(|due| now < *due) {
            return NextAction::WaitUntil(due);
        }
        self.begin_call(
            host,
            CallKind::Hello,
            self.hard_state.term,
            Request::Hello,
            now,
        )
    }

    fn heartbeat_due(&self, host: &str) -> Option<Instant> {
        let peer = self.peers.get(host)?;
        let member = self.log.membership().get(host);
        let is_learner = member.is_some_and(|member| member.role == MemberRole::Learner);
        let intervals = if is_learner && peer.sent_commit >= self.commit {
            LEARNER_HEARTBEAT_INTERVALS
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
        let term = self.hard_state.term + u64::from(phase == VotePhase::Pre);
        let request = Request::Vote {
            phase,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        Some((term, request))
    }

    fn prepare_leader_call(&mut self, host: &str, now: Instant) -> NextAction {
        let peer = &self.peers[host];
        if peer.incarnation.is_none() {
            return self.prepare_hello(host, now);
        }
        let (next_index, match_index) = (peer.next_index, peer.match_index);
        let last_index = self.log.last_index();
        let term = self.hard_state.term;
        let transferring = self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.target == host);
        if transferring && match_index == last_index {
            return self.begin_call(host, CallKind::CampaignNow, term, Request::CampaignNow, now);
        }
        if next_index <= self.log.base_index() {
            let (kind, request) = self.snapshot_request(host);
            return self.begin_call(host, kind, term, request, now);
        }
        let commit_unacked =
            self.options.timing.announces_commits && peer.acked_commit < self.commit;
        if next_index > last_index
            && !commit_unacked
            && let Some(due) = self.heartbeat_due(host).filter(|due| now < *due)
        {
            return NextAction::WaitUntil(due);
        }
        let (kind, request) = self.append_request(next_index);
        self.peers[host].sent_commit = self.commit;
        self.begin_call(host, kind, term, request, now)
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

    /// Processes the reply to a call, or `None` when no reply arrived.
    pub(super) fn complete_call(
        &mut self,
        call: &OutgoingCall,
        reply: Option<&[u8]>,
        now: Instant,
    ) {
        self.step_down_after_lapse(now);
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
            peer.identity = Some(PeerIdentity {
                incarnation: reply.incarnation,
                group: reply.group,
                wall_ms: *wall_ms,
                sent_at: call.sent_at,
            });
            return;
        }
        if reply.incarnation != call.to_incarnation {
            // The host lost its storage, or a former leader re-admitted it in an entry that was not
            // committed.
            let admissible = reply.group == 0 || reply.group == self.hard_state.group;
            peer.replaced_by = admissible.then_some(reply.incarnation);
            peer.retry_at = Some(retry_at);
            return;
        }
        if reply.group != 0 && reply.group != self.hard_state.group {
            log::debug!("{} belongs to another group", call.host);
            peer.retry_at = Some(retry_at);
            return;
        }
        if reply.term > self.hard_state.term {
            self.adopt_term(reply.term, now);
            return;
        }
        if call.term == self.hard_state.term {
            self.handle_reply_in_term(call, &reply, now);
        }
    }

    fn handle_reply_in_term(&mut self, call: &OutgoingCall, reply: &ReplyEnvelope, now: Instant) {
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
                peer.acked_commit = commit;
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
                // The host has no state. The leader sends a snapshot to it. Without a leader, the
                // host may have missed the formation.
                peer.needs_form = !leading;
                peer.next_index = 1;
                let repeated = matches!(call.kind, CallKind::Snapshot { .. });
                peer.retry_at = repeated.then_some(retry_at);
            }
            _ => peer.retry_at = Some(retry_at),
        }
    }

    /// Advances the commit index to what a majority has stored. Entries of earlier terms are
    /// committed only together with an entry of the present term, since a later leader may still
    /// replace them although a majority has stored them.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        if self.role != Role::Leader {
            return;
        }
        let stored = self.log.membership().majority_value(|member| {
            if member.host == self.options.host {
                return self.durable.1;
            }
            let peer = self.peers.get(&member.host);
            peer.map_or(0, |peer| peer.match_index)
        });
        if stored > self.commit && self.log.term_at(stored) == Some(self.hard_state.term) {
            self.commit = stored;
            self.apply_committed(now);
        }
    }

    /// Returns whether a majority answered calls that were sent within the election timeout.
    pub(super) fn has_recent_majority(&self, now: Instant) -> bool {
        self.lease_expiry(now).is_some_and(|until| now < until)
    }

    /// Returns the end of the leader lease: the election timeout after the latest time such that a
    /// majority has answered calls sent at that time or later.
    pub(super) fn lease_expiry(&self, now: Instant) -> Option<Instant> {
        let membership = self.log.membership();
        let mut answered: Vec<Option<Instant>> = membership
            .voters()
            .map(|member| {
                if member.host == self.options.host {
                    return Some(now + SELF_ACK_VALIDITY);
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
