//! Tests of the selection of runners and of their quarantine, in virtual time.

use std::time::{Duration, Instant};

use super::health::Execution;
use super::{RunnerSlot, RunnerTable};
use crate::protocol::worker::{Announcement, RunnerCapacity, WorkerPhase};
use crate::resources::Resources;

const SERVICE: &str = "quotes";
const SLOTS: u32 = 8;
const WORK: Duration = Duration::from_millis(20);

fn announcement(index: usize, racks: usize) -> Announcement {
    Announcement {
        worker: format!("runner-{index}"),
        incarnation: 1,
        data_centre: "erdenet".to_owned(),
        rack: format!("rack-{}", index % racks),
        address: "127.0.0.1:1".to_owned(),
        resources: Resources::ZERO,
        runner: Some(RunnerCapacity {
            service: SERVICE.to_owned(),
            slots: SLOTS,
            connections: 64,
        }),
        phase: WorkerPhase::Up,
        tasks: indexmap::IndexMap::new(),
        usage: indexmap::IndexMap::new(),
        highest_epoch: 0,
    }
}

fn table(runners: usize, racks: usize, now: Instant) -> RunnerTable {
    let mut table = RunnerTable::with_seed(7);
    for index in 0..runners {
        table.announce(
            announcement(index, racks),
            now + Duration::from_secs(10_000),
        );
    }
    table
}

/// Executes requests of a kind one after another. The closure returns the result on the runner.
fn execute(
    table: &mut RunnerTable,
    kind: &str,
    requests: usize,
    mut now: Instant,
    execution: impl Fn(&RunnerSlot) -> Execution,
) -> Instant {
    for _ in 0..requests {
        let slot = table
            .reserve(SERVICE, now, &|_| false)
            .expect("a slot is free");
        let ended = execution(&slot);
        now += Duration::from_millis(10);
        table.record(&slot, kind, &ended, now);
        table.release(&slot.worker, slot.incarnation, slot.generation);
    }
    now
}

fn good() -> Execution {
    Execution {
        failed: false,
        elapsed: WORK,
    }
}

fn failed() -> Execution {
    Execution {
        failed: true,
        elapsed: WORK,
    }
}

/// Guards against slots that are reserved beyond the capacity of a runner, or lost on release or when
/// the runner announces itself again.
#[test]
fn every_slot_is_reserved_once() {
    let now = Instant::now();
    let mut table = table(12, 3, now);
    let mut slots = Vec::new();
    while let Some(slot) = table.reserve(SERVICE, now, &|_| false) {
        slots.push(slot);
        assert!(slots.len() <= 12 * SLOTS as usize);
        if slots.len() == 40 {
            table.announce(announcement(5, 3), now + Duration::from_secs(10_000));
        }
    }
    assert_eq!(slots.len(), 12 * SLOTS as usize);
    assert_eq!(table.slots(SERVICE, now), 12 * SLOTS);
    for slot in &slots {
        table.release(&slot.worker, slot.incarnation, slot.generation);
    }
    assert_eq!(table.busy_slots(), 0);
}

/// Guards against work that concentrates on few runners or in one rack.
#[test]
fn work_spreads_over_runners_and_racks() {
    let now = Instant::now();
    let mut table = table(24, 4, now);
    let reserved: Vec<RunnerSlot> = (0..96)
        .map(|_| {
            table
                .reserve(SERVICE, now, &|_| false)
                .expect("a slot is free")
        })
        .collect();
    for rack in 0..4 {
        let in_rack = reserved.iter().filter(|slot| {
            let index: usize = slot.worker["runner-".len()..].parse().unwrap();
            index % 4 == rack
        });
        let in_rack = in_rack.count();
        assert!((16..=32).contains(&in_rack), "rack {rack} has {in_rack}");
    }
    let per_runner = |worker: &str| reserved.iter().filter(|slot| slot.worker == worker).count();
    let most = reserved.iter().map(|slot| per_runner(&slot.worker)).max();
    assert!(most < Some(8), "{most:?} on one runner");
}

/// Guards against a failing or slow runner that keeps receiving requests, and against a recovered one
/// that stays in quarantine.
#[test]
fn an_outlier_is_quarantined_probed_and_released() {
    let slow = Execution {
        failed: false,
        elapsed: WORK * 20,
    };
    for bad in [failed(), slow] {
        let now = Instant::now();
        let mut table = table(6, 2, now);
        let now = execute(&mut table, "member", 600, now, |slot| {
            if slot.worker == "runner-2" {
                bad.clone()
            } else {
                good()
            }
        });
        assert!(table.is_quarantined("runner-2"), "{bad:?}");
        for index in [0, 1, 3, 4, 5] {
            assert!(!table.is_quarantined(&format!("runner-{index}")));
        }
        // During the quarantine the runner receives nothing; afterwards good probes release it.
        execute(&mut table, "member", 100, now, |slot| {
            assert_ne!(slot.worker, "runner-2");
            good()
        });
        let later = now + Duration::from_secs(60);
        execute(&mut table, "member", 600, later, |_| good());
        assert!(!table.is_quarantined("runner-2"), "{bad:?}");
    }
}

/// Guards against requests that fail on every runner and thereby quarantine runners that other
/// requests need, and against a quarantine of most runners.
#[test]
fn a_kind_that_fails_on_all_runners_quarantines_none() {
    let now = Instant::now();
    let mut table = table(6, 2, now);
    let mut now = now;
    for _ in 0..200 {
        now = execute(&mut table, "poisoned", 3, now, |_| failed());
        now = execute(&mut table, "healthy", 3, now, |_| good());
    }
    for index in 0..6 {
        assert!(!table.is_quarantined(&format!("runner-{index}")));
    }
}

/// Guards against placement on a runner that is leaving or whose lease has expired.
#[test]
fn leaving_and_expired_runners_receive_no_work() {
    let now = Instant::now();
    let mut table = RunnerTable::with_seed(7);
    let leaving = Announcement {
        phase: WorkerPhase::Leaving,
        ..announcement(0, 1)
    };
    table.announce(leaving, now + Duration::from_secs(10));
    table.announce(announcement(1, 1), now);
    assert!(table.reserve(SERVICE, now, &|_| false).is_none());
    assert_eq!(table.slots(SERVICE, now), 0);
}
