//! Simulated delays and partitions of the links between entry hosts, for tests and measurements.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::HostId;

/// Conditions and traffic of the link from one host to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Link {
    delay: Duration,
    cut: bool,
    sent_bytes: u64,
}

/// Conditions of all links of a cell, shared by the hosts that run in one process.
#[derive(Debug, Default)]
pub struct LinkConditions {
    /// By sender and receiver.
    links: Mutex<IndexMap<(HostId, HostId), Link>>,
}

impl LinkConditions {
    /// Sets the one-way delay of both directions between two hosts.
    pub fn set_delay(&self, one: &str, other: &str, delay: Duration) {
        self.update(one, other, |link| link.delay = delay);
        self.update(other, one, |link| link.delay = delay);
    }

    /// Cuts or restores both directions between two hosts.
    pub fn set_cut(&self, one: &str, other: &str, cut: bool) {
        self.update(one, other, |link| link.cut = cut);
        self.update(other, one, |link| link.cut = cut);
    }

    /// Returns the bytes of frames and datagrams that `from` sent to all other hosts.
    pub fn sent_bytes(&self, from: &str) -> u64 {
        let links = self.links.lock().unwrap();
        let own = links.iter().filter(|((sender, _), _)| sender == from);
        own.map(|(_, link)| link.sent_bytes).sum()
    }

    /// Returns the bytes of frames and datagrams that `from` sent to one other host.
    pub fn sent_bytes_to(&self, from: &str, to: &str) -> u64 {
        self.read(from, to).sent_bytes
    }

    pub(crate) fn is_cut(&self, from: &str, to: &str) -> bool {
        self.read(from, to).cut
    }

    pub(crate) fn delay(&self, from: &str, to: &str) -> Duration {
        self.read(from, to).delay
    }

    /// Blocks for the one-way delay, but not beyond the deadline.
    pub(crate) fn wait_one_way_delay(&self, from: &str, to: &str, deadline: Instant) {
        let delay = self.delay(from, to);
        thread::sleep(delay.min(deadline.saturating_duration_since(Instant::now())));
    }

    pub(crate) fn count(&self, from: &str, to: &str, bytes: usize) {
        self.update(from, to, |link| link.sent_bytes += bytes as u64);
    }

    fn read(&self, from: &str, to: &str) -> Link {
        let key = (from.to_owned(), to.to_owned());
        let links = self.links.lock().unwrap();
        links.get(&key).copied().unwrap_or_default()
    }

    fn update(&self, from: &str, to: &str, change: impl FnOnce(&mut Link)) {
        let key = (from.to_owned(), to.to_owned());
        change(self.links.lock().unwrap().entry(key).or_default());
    }
}
