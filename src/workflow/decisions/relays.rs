//! Which host relays the orders to a worker.
//!
//! Load pattern: the messages of several hundred workers exceed the processor of the placer's host,
//! while many entry hosts are idle. Workers are spread evenly over the entry hosts of their own data
//! centre, so that most messages stay there.

use indexmap::IndexMap;

/// Difference of workers between two hosts that is not worth a move.
const LOAD_SLACK: usize = 2;

/// How well a host is suited, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostClass {
    /// Has no duty but to forward calls.
    Entry,
    /// Stores the log.
    Storage,
    /// The placer itself.
    Placer,
}

/// A host that can relay.
#[derive(Clone, Debug)]
pub struct RelayHost<'a> {
    /// Data centre.
    pub data_centre: &'a str,
    /// Suitability.
    pub class: HostClass,
}

/// A worker that needs a relay.
#[derive(Clone, Debug)]
pub struct ServedWorker<'a> {
    /// Data centre.
    pub data_centre: &'a str,
    /// Position of its present relay among the hosts.
    pub relay: Option<usize>,
    /// Position of a host that could not reach the worker; used only where there is no other.
    pub avoided: Option<usize>,
}

/// Chooses relays; returns the positions of the workers that change theirs, with the new host.
pub fn assign(hosts: &[RelayHost<'_>], workers: &[ServedWorker<'_>]) -> Vec<(usize, usize)> {
    let Some(class) = hosts.iter().map(|host| host.class).min() else {
        return Vec::new();
    };
    let mut suited: Vec<usize> = Vec::new();
    let mut by_data_centre: IndexMap<&str, Vec<usize>> = IndexMap::new();
    for (position, host) in hosts.iter().enumerate() {
        if host.class != class {
            continue;
        }
        suited.push(position);
        by_data_centre
            .entry(host.data_centre)
            .or_default()
            .push(position);
    }
    let mut loads = vec![0_usize; hosts.len()];
    for worker in workers {
        if let Some(relay) = worker.relay {
            loads[relay] += 1;
        }
    }
    let mut moves = Vec::new();
    for (position, worker) in workers.iter().enumerate() {
        let candidates = by_data_centre.get(worker.data_centre).unwrap_or(&suited);
        let best = candidates
            .iter()
            .copied()
            .min_by_key(|host| (worker.avoided == Some(*host), loads[*host]));
        let Some(best) = best else {
            continue;
        };
        if let Some(relay) = worker.relay {
            let stays = candidates.contains(&relay) && loads[relay] <= loads[best] + LOAD_SLACK;
            if stays {
                continue;
            }
            loads[relay] -= 1;
        }
        loads[best] += 1;
        moves.push((position, best));
    }
    moves
}
