//! Adapts the members of the workflow log to the storage hosts that are in contact, and hands over
//! the leadership.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::super::decisions::replicas::{MemberView, MembershipStep, next_step};
use super::Placer;
use super::policy::CONTACT_TIMEOUT;
use crate::ids::{Epoch, HostId};
use crate::replication::MemberRole;

/// Interval at which the members are checked.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a membership change, which takes several commits among three regions.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Placer {
    /// Transfers the leadership to another storage host before a planned stop.
    pub fn hand_over(&self, deadline: Instant) {
        if self.replica.leadership().is_none() {
            return;
        }
        match self.replica.transfer_leadership(None, deadline) {
            Ok(()) => log::info!("transferred the workflow leadership"),
            Err(error) => log::warn!("failed to transfer the workflow leadership: {error}"),
        }
    }

    /// Returns the host that leads the workflow log, if known.
    pub fn leader_hint(&self) -> Option<HostId> {
        self.replica.leader_hint()
    }

    pub(super) fn run_membership(self: &Arc<Self>) {
        let mut leads_since: Option<(Epoch, Instant)> = None;
        loop {
            thread::sleep(MEMBERSHIP_INTERVAL);
            let Some(epoch) = self.replica.leadership() else {
                leads_since = None;
                continue;
            };
            let now = self.clock.now();
            let since = match leads_since {
                Some((known, since)) if known == epoch => since,
                _ => now,
            };
            leads_since = Some((epoch, since));
            self.change_membership(since, now);
        }
    }

    fn change_membership(&self, leads_since: Instant, now: Instant) {
        let own = &self.settings.host;
        let members: Vec<MemberView> = self
            .replica
            .members()
            .into_iter()
            .map(|member| MemberView {
                votes: member.role != MemberRole::Learner,
                caught_up: member.caught_up,
                silent_for: if member.host == *own {
                    Duration::ZERO
                } else {
                    let heard_at = member.answered_at.unwrap_or(leads_since);
                    now.saturating_duration_since(heard_at.max(leads_since))
                },
                host: member.host,
            })
            .collect();
        let candidates = self.storage_hosts_in_contact(now);
        let Some(step) = next_step(&members, &candidates, self.settings.wanted_voters) else {
            return;
        };
        log::info!(step:? = step, members:? = members; "changing the members of the workflow log");
        let deadline = now + CHANGE_TIMEOUT;
        let changed = match &step {
            MembershipStep::AddLearner(host) => self.replica.add_learner(host, deadline),
            MembershipStep::Promote(host) => self.replica.promote(host, deadline),
            MembershipStep::Remove(host) => self.replica.remove(host, deadline),
        };
        if let Err(error) = changed {
            log::warn!(step:? = step; "failed to change the members of the workflow log: {error}");
        }
    }

    fn storage_hosts_in_contact(&self, now: Instant) -> Vec<HostId> {
        let guard = self.lock();
        let Some(term) = guard.as_ref() else {
            return Vec::new();
        };
        let callers = term.policy_callers.iter();
        let fresh = callers.filter(|(_, caller)| {
            caller.contact.stores && now < caller.last_contact_at + CONTACT_TIMEOUT
        });
        fresh.map(|(host, _)| host.clone()).collect()
    }
}
