//! Keeps the states of all hosts as seen by one host, and the updates that it still has to send.

use std::time::{Duration, Instant};

use derive_more::Display;
use indexmap::IndexMap;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation};

/// Largest value of the local health score, which scales timeouts by a factor of up to nine.
const MAX_HEALTH_SCORE: u32 = 8;
/// Number of times that an update is sent, per unit of the logarithm of the number of hosts.
const REPEAT_FACTOR: u32 = 3;

/// Liveness of a host, in order of precedence for equal incarnations.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum HostState {
    /// Answers probes, or has not been probed yet.
    Alive,
    /// Did not answer a probe; declared dead unless the suspicion is refuted in time.
    Suspect,
    /// Declared failed. It is still probed, so that a returning host is found.
    Dead,
}

/// A change of the state of a host, spread from host to host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Host whose state changed.
    pub host: HostId,
    /// Incarnation to which the state applies. Only the host itself raises its incarnation.
    pub incarnation: Incarnation,
    /// New state.
    pub state: HostState,
}

/// State of one host as seen by the observing host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostView {
    /// Host that is observed, which may be the observing host itself.
    pub host: HostId,
    /// Highest incarnation known to the observer; 0 before the first update.
    pub incarnation: Incarnation,
    /// Liveness in this incarnation; always `Alive` for the observing host itself.
    pub state: HostState,
}

struct Entry {
    incarnation: Incarnation,
    state: HostState,
    /// When the host is declared dead. Present exactly in state `Suspect`.
    dead_at: Option<Instant>,
}

/// States of all hosts as seen by one host.
pub struct MembershipTable {
    host: HostId,
    incarnation: Incarnation,
    hosts: IndexMap<HostId, Entry>,
    /// Hosts still to be probed in this round.
    round: Vec<HostId>,
    /// Updates to send, with the number of times that they were sent.
    outbox: Vec<(Update, u32)>,
    /// Local health score: 0 for a healthy host. Grows with evidence that this host itself is slow
    /// or cut off, and scales its timeouts.
    health_score: u32,
    suspicion: Duration,
    random: SmallRng,
}

impl MembershipTable {
    /// Returns a table in which all other hosts are alive. `suspicion` is the time for which a
    /// healthy observer waits for a refutation.
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

    /// Incarnation of this host, which grows with each refutation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Factor by which this host scales its timeouts: one plus its health score.
    pub fn timeout_factor(&self) -> u32 {
        1 + self.health_score
    }

    /// Returns the next host to probe. Each round visits every host once in random order, including
    /// dead hosts, so that a returning host is found.
    pub fn next_probe_target(&mut self) -> Option<HostId> {
        if self.round.is_empty() {
            self.round = self.hosts.keys().cloned().collect();
            self.round.shuffle(&mut self.random);
        }
        self.round.pop()
    }

    /// Returns up to `count` random live hosts other than the target, for indirect probes.
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

    /// Records that the target answered neither a direct nor an indirect probe. `relays_answered`
    /// tells whether any relay answered; if none did, this host itself may be cut off.
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

    /// Applies updates that are newer than the known state. Refutes updates about this host.
    pub fn merge(&mut self, updates: &[Update], now: Instant) {
        let timeout_factor = self.timeout_factor();
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
            entry.dead_at = suspected.then(|| now + self.suspicion * timeout_factor);
            if suspected {
                // Probes the suspect next: the probe carries the suspicion, and its answer carries
                // the refutation. With updates in other probes alone, healthy hosts were declared
                // dead at a loss of 15%.
                self.round.push(update.host.clone());
            }
            self.enqueue(update.clone());
        }
    }

    /// Declares the hosts dead whose suspicion was not refuted in time.
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

    /// Restarts the timeout of every suspicion. Called after a pause of this process, during which
    /// refutations may have arrived without being read.
    pub fn restart_suspicions(&mut self, now: Instant) {
        let dead_at = now + self.suspicion * self.timeout_factor();
        for entry in self.hosts.values_mut() {
            if entry.dead_at.is_some() {
                entry.dead_at = Some(dead_at);
            }
        }
    }

    /// Returns the updates to send with the next message to a host, least often sent first. A host
    /// that is not seen as alive always receives its own state, so that it can refute it.
    pub fn take_updates(&mut self, to: &str, count: usize) -> Vec<Update> {
        let hosts = self.hosts.len() as u32 + 1;
        let limit = REPEAT_FACTOR * (hosts.ilog2() + 1);
        let not_alive = self
            .hosts
            .get(to)
            .filter(|entry| entry.state != HostState::Alive);
        let mut updates: Vec<Update> = not_alive
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

    /// Returns the state of a host. Unknown hosts are dead.
    pub fn state(&self, host: &str) -> HostState {
        if host == self.host {
            return HostState::Alive;
        }
        self.hosts
            .get(host)
            .map_or(HostState::Dead, |entry| entry.state)
    }

    /// Returns the states of all hosts, this host included.
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

    /// Returns a random fraction from 0 to 1, for jitter.
    pub fn jitter(&mut self) -> f64 {
        self.random.random()
    }

    /// Announces a higher incarnation if the update does not see this host as alive.
    fn refute(&mut self, update: &Update) {
        if update.state == HostState::Alive {
            return;
        }
        if update.incarnation >= self.incarnation {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            self.incarnation = update.incarnation + 1;
        }
        // Outdated updates are refuted too: their sender does not know this incarnation.
        self.announce_self();
    }

    fn announce_self(&mut self) {
        self.enqueue(Update {
            host: self.host.clone(),
            incarnation: self.incarnation,
            state: HostState::Alive,
        });
    }

    /// Queues an update for sending; it replaces an earlier one about the same host.
    fn enqueue(&mut self, update: Update) {
        self.outbox.retain(|(queued, _)| queued.host != update.host);
        self.outbox.push((update, 0));
    }
}
