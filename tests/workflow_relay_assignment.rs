//! Tests which host relays the orders to a worker.

use jujubewinch::workflow::decisions::relays::{HostClass, RelayHost, ServedWorker, assign};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn host(data_centre: &str, class: HostClass) -> RelayHost<'_> {
    RelayHost { data_centre, class }
}

fn worker(data_centre: &str, relay: Option<usize>) -> ServedWorker<'_> {
    ServedWorker {
        data_centre,
        relay,
        avoided: Vec::new(),
    }
}

/// Guards against one host that relays the messages of all workers: those of 350 workers exceeded
/// the processor of the leading storage host.
#[test]
fn workers_are_spread_over_the_entry_hosts_of_their_data_centre() {
    let hosts = [
        host("erdenet", HostClass::Placer),
        host("erdenet", HostClass::Entry),
        host("erdenet", HostClass::Entry),
        host("darkhan", HostClass::Entry),
    ];
    let mut workers = vec![worker("erdenet", None); 10];
    workers.extend(vec![worker("darkhan", None); 3]);
    workers.push(worker("elsewhere", None));
    let moves = assign(&hosts, &workers);
    let mut loads = [0; 4];
    for (_, host) in &moves {
        loads[*host] += 1;
    }
    assert_eq!((moves.len(), loads), (14, [0, 5, 5, 4]));
}

/// Guards against workers that remain assigned to an overloaded or unsuitable host, and against
/// unnecessary moves.
#[test]
fn workers_are_reassigned_only_when_necessary() {
    let hosts = [
        host("erdenet", HostClass::Entry),
        host("erdenet", HostClass::Entry),
        host("erdenet", HostClass::Storage),
    ];
    let balanced = [
        worker("erdenet", Some(0)),
        worker("erdenet", Some(0)),
        worker("erdenet", Some(1)),
    ];
    assert_eq!(assign(&hosts, &balanced), []);
    let overloaded = vec![worker("erdenet", Some(0)); 8];
    assert_eq!(assign(&hosts, &overloaded).len(), 3);
    assert_eq!(assign(&hosts, &[worker("erdenet", Some(2))]), [(0, 0)]);
    let mut unreachable = worker("erdenet", None);
    unreachable.avoided = vec![0];
    assert_eq!(assign(&hosts, &[unreachable]), [(0, 1)]);
    assert_eq!(assign(&[], &[worker("erdenet", None)]), []);
}

/// Returns the moves when all hosts are compared for each worker.
fn assign_by_comparison(
    hosts: &[RelayHost<'_>],
    workers: &[ServedWorker<'_>],
) -> Vec<(usize, usize)> {
    let class = hosts.iter().map(|host| host.class).min().unwrap();
    let mut loads = vec![0; hosts.len()];
    for relay in workers.iter().filter_map(|worker| worker.relay) {
        loads[relay] += 1;
    }
    let mut moves = Vec::new();
    for (position, worker) in workers.iter().enumerate() {
        let mut candidates: Vec<usize> = (0..hosts.len()).collect();
        candidates.retain(|&host| hosts[host].class == class);
        let is_near = |host: &usize| hosts[*host].data_centre == worker.data_centre;
        if candidates.iter().any(is_near) {
            candidates.retain(is_near);
        }
        let suitability = |host: &&usize| (worker.avoided.contains(host), loads[**host]);
        let best = *candidates.iter().min_by_key(suitability).unwrap();
        if let Some(relay) = worker.relay {
            if candidates.contains(&relay) && loads[relay] <= loads[best] + 2 {
                continue;
            }
            loads[relay] -= 1;
        }
        loads[best] += 1;
        moves.push((position, best));
    }
    moves
}

/// Guards against a worker that keeps or changes its relay otherwise than a comparison of all hosts
/// decides, which is left out for most workers.
#[test]
fn relays_are_those_that_a_comparison_of_all_hosts_finds() {
    let mut random = StdRng::seed_from_u64(41);
    let places = ["erdenet", "darkhan", "elsewhere"];
    let classes = [HostClass::Entry, HostClass::Storage, HostClass::Placer];
    for _ in 0..500 {
        let count = random.random_range(1..8);
        let hosts: Vec<_> = (0..count)
            .map(|_| {
                let class = classes[random
                    .random_range(0..3_usize)
                    .min(random.random_range(0..3))];
                host(places[random.random_range(0..2)], class)
            })
            .collect();
        let workers: Vec<_> = (0..random.random_range(0..40))
            .map(|_| {
                let relay = random.random_range(0..count * 4 / 3 + 1);
                let mut worker = worker(
                    places[random.random_range(0..3)],
                    (relay < count).then_some(relay),
                );
                if random.random_bool(0.1) {
                    worker.avoided.push(random.random_range(0..count));
                }
                worker
            })
            .collect();
        let expected = assign_by_comparison(&hosts, &workers);
        assert_eq!(
            assign(&hosts, &workers),
            expected,
            "{hosts:?} and {workers:?}"
        );
    }
}
