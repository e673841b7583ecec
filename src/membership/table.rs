//! What one host believes about all others.

use std::time::{Duration, Instant};

use derive_more::Display;
use indexmap::IndexMap;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation};

/// Largest value of the local health score; scales timeouts by up to nine.
const MAX_HEALTH_SCORE: u32 = 8;
/// How often an update is repeated, times the logarithm of the number of hosts.
const REPEAT_FACTOR: u32 = 3;

/// Liveness of a host, in order of precedence for equal incarnations.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum HostState {
    /// Answers probes, or has not been probed yet.
    Alive,
    /// Did not answer; dead unless it refutes in time.
    Suspect,
    /// Counts as failed.
    Dead,
}

/// News about a host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Host that the news is about.
    pub host: HostId,
    /// Incarnation that the state belongs to; only the host itself raises it.
    pub incarnation: Incarnation,
    /// New state.
    pub state: HostState,
}

/// Belief about one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostView {
    /// Host.
    pub host: HostId,
    /// Highest incarnation heard of.
    pub incarnation: Incarnation,
    /// Liveness.
    pub state: HostState,
}

struct Entry {
    incarnation: Incarnation,
    state: HostState,
    /// When the suspicion becomes a failure. Present exactly in state `Suspect`.
    dead_at: Option<Instant>,
}

/// Beliefs of one host.
pub struct MembershipTable {
    host: HostId,
    incarnation: Incarnation,
    hosts: IndexMap<HostId, Entry>,
    /// Hosts still to be probed in this round.
    round: Vec<HostId>,
    /// Updates to send, with the number of times that they were sent.
    outbox: Vec<(Update, u32)>,
    /// Evidence that this host itself is slow; scales its timeouts.
    health_score: u32,
    suspicion: Duration,
    random: SmallRng,
}

impl MembershipTable {
    /// A table in which all others are alive. `suspicion` is the time in which a healthy host can
    /// refute.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        others: &[HostId],
        suspicion: Duration,
        random: SmallRng,
    ) -> Self {
        let alive = || Entry {
            incarnation: 0,
            state: HostState::Alive,
            dead_at: None,
        };
        let hosts = others
            .iter()
            .map(|other| (other.clone(), alive()))
            .collect();
        let mut table = Self {
            host,
            incarnation,
            hosts,
            round: Vec::new(),
            outbox: Vec::new(),
            health_score: 0,
            suspicion,
            random,
        };
        table.announce_self();
        table
    }

    /// Identifier of this host.
    pub fn host(&self) -> &HostId {
        &self.host
    }

    /// Factor by which this host stretches its timeouts, at least one.
    pub fn patience(&self) -> u32 {
        1 + self.health_score
    }

    /// Next host to probe. Each round visits every host once in random order, dead ones included,
    /// so that a returning host is found.
    pub fn next_target(&mut self) -> Option<HostId> {
        if self.round.is_empty() {
            self.round = self.hosts.keys().cloned().collect();
            self.round.shuffle(&mut self.random);
        }
        self.round.pop()
    }

    /// Up to `count` random live hosts other than the target, for indirect probes.
    pub fn relays(&mut self, target: &str, count: usize) -> Vec<HostId> {
        let alive = self
            .hosts
            .iter()
            .filter(|(host, entry)| host.as_str() != target && entry.state == HostState::Alive);
        let mut relays: Vec<HostId> = alive.map(|(host, _)| host.clone()).collect();
        relays.shuffle(&mut self.random);
        relays.truncate(count);
        relays
    }

    /// Records that the probed host answered, which shows that this host is not cut off.
    pub fn probe_answered(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// Records that neither the host nor a relay answered. `relays_answered` tells whether the
    /// relays themselves did; if none did, this host may be the one that is cut off.
    pub fn probe_failed(&mut self, host: &str, relays_answered: bool, now: Instant) {
        if !relays_answered {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        let Some(entry) = self.hosts.get(host) else {
            return;
        };
        let update = Update {
            host: host.to_owned(),
            incarnation: entry.incarnation,
            state: HostState::Suspect,
        };
        self.merge(std::slice::from_ref(&update), now);
    }

    /// Applies news; news about this host itself are refuted.
    pub fn merge(&mut self, updates: &[Update], now: Instant) {
        let patience = self.patience();
        for update in updates {
            if update.host == self.host {
                self.refute(update);
                continue;
            }
            let Some(entry) = self.hosts.get_mut(&update.host) else {
                continue;
            };
            let newer = (update.incarnation, update.state) > (entry.incarnation, entry.state);
            if !newer {
                continue;
            }
            entry.incarnation = update.incarnation;
            entry.state = update.state;
            let suspected = update.state == HostState::Suspect;
            entry.dead_at = suspected.then(|| now + self.suspicion * patience);
            if suspected {
                // The next probe goes to the suspect: it carries the suspicion there and brings
                // the refutation back. By news alone 15% of loss made healthy hosts fail.
                self.round.push(update.host.clone());
            }
            self.enqueue(update.clone());
        }
    }

    /// Turns suspicions that were not refuted in time into failures.
    pub fn expire(&mut self, now: Instant) {
        let expired = self
            .hosts
            .iter()
            .filter(|(_, entry)| entry.dead_at.is_some_and(|at| at <= now));
        let updates: Vec<Update> = expired
            .map(|(host, entry)| Update {
                host: host.clone(),
                incarnation: entry.incarnation,
                state: HostState::Dead,
            })
            .collect();
        self.merge(&updates, now);
    }

    /// Gives every suspected host its full time again. Called when this process was paused: the
    /// refutations may have arrived meanwhile and not been read.
    pub fn restart_suspicions(&mut self, now: Instant) {
        let dead_at = now + self.suspicion * self.patience();
        for entry in self.hosts.values_mut() {
            if entry.dead_at.is_some() {
                entry.dead_at = Some(dead_at);
            }
        }
    }

    /// News to send with the next message to a host, least often sent first. A host that is not
    /// believed to be alive always gets that belief, so that it can refute.
    pub fn take_updates(&mut self, to: &str, count: usize) -> Vec<Update> {
        let hosts = self.hosts.len() as u32 + 1;
        let limit = REPEAT_FACTOR * (hosts.ilog2() + 1);
        let believed = self
            .hosts
            .get(to)
            .filter(|entry| entry.state != HostState::Alive);
        let mut updates: Vec<Update> = believed
            .map(|entry| Update {
                host: to.to_owned(),
                incarnation: entry.incarnation,
                state: entry.state,
            })
            .into_iter()
            .collect();
        self.outbox.sort_by_key(|(_, sent)| *sent);
        for (update, sent) in &mut self.outbox {
            if updates.len() >= count {
                break;
            }
            if updates.iter().any(|chosen| chosen.host == update.host) {
                continue;
            }
            *sent += 1;
            updates.push(update.clone());
        }
        self.outbox.retain(|(_, sent)| *sent < limit);
        updates
    }

    /// State of a host; unknown hosts are dead.
    pub fn state(&self, host: &str) -> HostState {
        if host == self.host {
            return HostState::Alive;
        }
        self.hosts
            .get(host)
            .map_or(HostState::Dead, |entry| entry.state)
    }

    /// Beliefs about all hosts, this one included.
    pub fn views(&self) -> Vec<HostView> {
        let this = HostView {
            host: self.host.clone(),
            incarnation: self.incarnation,
            state: HostState::Alive,
        };
        let others = self.hosts.iter().map(|(host, entry)| HostView {
            host: host.clone(),
            incarnation: entry.incarnation,
            state: entry.state,
        });
        std::iter::once(this).chain(others).collect()
    }

    /// A random fraction from 0 to 1, for jitter.
    pub fn jitter(&mut self) -> f64 {
        self.random.random()
    }

    fn refute(&mut self, update: &Update) {
        if update.state == HostState::Alive {
            return;
        }
        if update.incarnation >= self.incarnation {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            self.incarnation = update.incarnation + 1;
        }
        // Also needed for outdated news: their sender has not heard of this incarnation.
        self.announce_self();
    }

    fn announce_self(&mut self) {
        self.enqueue(Update {
            host: self.host.clone(),
            incarnation: self.incarnation,
            state: HostState::Alive,
        });
    }

    fn enqueue(&mut self, update: Update) {
        self.outbox.retain(|(queued, _)| queued.host != update.host);
        self.outbox.push((update, 0));
    }
}
