//! Assigns workers to the hosts that relay the placer's orders to them.
//!
//! Load pattern: the messages of several hundred workers exceed the processor of the placer's host,
//! while many entry hosts are idle. Workers are spread evenly over the entry hosts of their own
//! data centre, so that most messages stay within it.

use indexmap::IndexMap;

/// Difference in the number of workers between two hosts up to which no worker is moved.
const LOAD_SLACK: usize = 2;

/// Suitability of a host as a relay, best first. Only hosts of the best class among the available
/// ones relay.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostClass {
    /// The host only forwards calls.
    Entry,
    /// The host stores the log.
    Storage,
    /// The host is the placer.
    Placer,
}

/// A host that can relay.
#[derive(Clone, Debug)]
pub struct RelayHost<'a> {
    /// Data centre; workers in the same one are assigned to this host.
    pub data_centre: &'a str,
    /// Suitability as a relay.
    pub class: HostClass,
}

/// A worker that needs a relay.
#[derive(Clone, Debug)]
pub struct ServedWorker<'a> {
    /// Data centre; hosts in the same one are used if there are any.
    pub data_centre: &'a str,
    /// Position of the current relay among the hosts; `None` if the worker has none.
    pub relay: Option<usize>,
    /// Positions of hosts that could not reach the worker; assigned only if there is no other.
    pub avoided: Vec<usize>,
}

/// Returns the position of each worker whose relay changes, with the position of its new relay.
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
    // Smallest load of the hosts in each data centre, and of all; none after a move. Most workers keep
    // their relay, and comparing all hosts for each of them took most of the time of a tick.
    let mut least_loads: Vec<Option<usize>> = vec![None; by_data_centre.len() + 1];
    let mut moves = Vec::new();
    for (position, worker) in workers.iter().enumerate() {
        let in_data_centre = by_data_centre.get_full(worker.data_centre);
        let (group, candidates) = match in_data_centre {
            Some((group, _, candidates)) => (group, candidates),
            None => (by_data_centre.len(), &suited),
        };
        if let Some(relay) = worker.relay
            && worker.avoided.is_empty()
        {
            let host = &hosts[relay];
            let is_near = in_data_centre.is_none() || host.data_centre == worker.data_centre;
            let least = *least_loads[group].get_or_insert_with(|| {
                let loads = candidates.iter().map(|&host| loads[host]);
                loads.min().unwrap_or(0)
            });
            if host.class == class && is_near && loads[relay] <= least + LOAD_SLACK {
                continue;
            }
        }
        let best = candidates
            .iter()
            .copied()
            .min_by_key(|host| (worker.avoided.contains(host), loads[*host]));
        let Some(best) = best else {
            continue;
        };
        if let Some(relay) = worker.relay {
            let keeps_relay =
                candidates.contains(&relay) && loads[relay] <= loads[best] + LOAD_SLACK;
            if keeps_relay {
                continue;
            }
            loads[relay] -= 1;
        }
        loads[best] += 1;
        least_loads.fill(None);
        moves.push((position, best));
    }
    moves
}
