//! Tests of the ledger, feasibility, overuse, estimates and quarantine, and of placement, preemption
//! and gangs in the job scheduler.

mod job_support;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use job_support::fixtures::{job, resources, worker};
use jujubewinch::protocol::caller::Urgency;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::estimates::Estimates;
use jujubewinch::scheduling::fair_share::TeamShare;
use jujubewinch::scheduling::feasibility::{Feasibility, Infeasible, ResourceName};
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::{
    Decision, JobScheduler, PreemptReason, SchedulerSettings,
};
use jujubewinch::scheduling::ledger::{Allocation, Ledger, LedgerError, Purpose, WorkerStatus};
use jujubewinch::scheduling::overuse::{Measure, Overuse};
use jujubewinch::scheduling::quarantine::{HealthState, Quarantine};
use jujubewinch::verdict::ErrorCode;

fn allocation(amount: Resources, urgency: Urgency) -> Allocation {
    Allocation {
        amount,
        purpose: Purpose::Task,
        urgency,
    }
}

/// Guards against new tasks on a worker whose capacity shrank below its allocations, and against
/// stopping more tasks than necessary or more urgent ones first.
#[test]
fn a_worker_that_shrank_accepts_no_task_and_reports_the_excess() {
    let mut ledger = Ledger::default();
    let index = ledger.announce(worker("a", "erdenet", resources(8_000, 8_192, 0)));
    for (task, urgency) in [
        ("low", Urgency::Low),
        ("high", Urgency::High),
        ("normal", Urgency::Normal),
    ] {
        ledger
            .allocate(index, task, allocation(resources(2_000, 2_048, 0), urgency))
            .unwrap();
    }
    let cases = [
        (resources(6_000, 6_144, 0), vec![]),
        (resources(5_000, 6_144, 0), vec!["low"]),
        (resources(8_000, 2_048, 0), vec!["low", "normal"]),
    ];
    for (capacity, excess) in cases {
        ledger.announce(worker("a", "erdenet", capacity));
        assert_eq!(ledger.worker(index).unwrap().excess(), excess, "{capacity}");
        let refused = ledger.allocate(
            index,
            "new",
            allocation(resources(1, 0, 0), Urgency::Urgent),
        );
        if capacity.cpu_millis == 6_000 || !excess.is_empty() {
            assert!(
                matches!(refused, Err(LedgerError::Insufficient { .. })),
                "{capacity}"
            );
        }
    }
}

/// Guards against new tasks on a lost worker, and against dropping its allocations, since it may
/// return with its tasks.
#[test]
fn a_lost_worker_keeps_its_allocations_and_accepts_nothing() {
    let mut ledger = Ledger::default();
    let description = worker("a", "erdenet", resources(8_000, 8_192, 0));
    let index = ledger.announce(description.clone());
    let amount = resources(3_000, 1_024, 0);
    ledger
        .allocate(index, "task", allocation(amount, Urgency::Normal))
        .unwrap();
    ledger.set_status(index, WorkerStatus::Lost);
    assert_eq!(ledger.capacity(), Resources::ZERO);
    assert_eq!(ledger.free_total(), Resources::ZERO);
    let refused = ledger.allocate(index, "new", allocation(amount, Urgency::Normal));
    assert!(matches!(refused, Err(LedgerError::NotAccepting { .. })));
    assert!(
        !ledger.remove_worker(index),
        "a worker with allocations was removed"
    );
    ledger.announce(description);
    ledger.adopt(index, "found", amount, Urgency::Normal);
    assert_eq!(
        ledger.worker(index).unwrap().allocated(),
        resources(6_000, 2_048, 0)
    );
    assert_eq!(ledger.free(index), resources(2_000, 6_144, 0));
}

/// Guards against accepting jobs that would wait forever, and against refusing a job as infeasible
/// while a data centre that may have a suitable worker is unreachable.
#[test]
fn infeasible_jobs_are_refused_with_the_missing_resource() {
    let mut feasibility = Feasibility::default();
    feasibility.set_worker("small", "erdenet", resources(16_000, 32_768, 0));
    feasibility.set_worker("large", "chinggis", resources(8_000, 65_536, 2));
    let check = |feasibility: &Feasibility, need, tasks, gang| {
        let mut spec = job("j", 0, need);
        spec.tasks = tasks;
        feasibility.check(&spec, gang)
    };
    assert_eq!(
        check(&feasibility, resources(16_000, 1, 0), 1, false),
        Ok(())
    );
    assert_eq!(
        check(&feasibility, resources(0, 0, 0), 1, false),
        Err(Infeasible::Empty)
    );
    let too_large = check(&feasibility, resources(1, 70_000, 0), 1, false);
    let expected = Infeasible::TooLarge {
        resource: ResourceName::Memory,
        need: 70_000,
        worker: "large".into(),
        data_centre: "chinggis".into(),
        has: 65_536,
    };
    assert_eq!(too_large, Err(expected));
    let combined = check(&feasibility, resources(16_000, 65_536, 0), 1, false);
    assert!(matches!(combined, Err(Infeasible::NoCombination { .. })));
    let gang = check(&feasibility, resources(8_000, 16_384, 0), 4, true);
    assert!(
        matches!(gang, Err(Infeasible::GangTooLarge { fit: 3, .. })),
        "{gang:?}"
    );
    feasibility.set_reachable("sukhbaatar", false);
    let unknown = check(&feasibility, resources(1, 70_000, 0), 1, false).unwrap_err();
    assert_eq!(unknown, Infeasible::Unreachable("sukhbaatar".into()));
    assert_eq!(unknown.to_error().code, ErrorCode::Unavailable);
    let mut restricted = job("j", 0, resources(1, 70_000, 0));
    restricted.preference.data_centre = Some("chinggis".into());
    restricted.preference.required = true;
    let result = feasibility.check(&restricted, false);
    assert!(
        matches!(result, Err(Infeasible::TooLarge { .. })),
        "{result:?}"
    );
}

/// Guards against measures that are applied out of order or before the previous one could take
/// effect, against measures on an urgent task before a less urgent one, and against measures while
/// the worker is not overloaded.
#[test]
fn overuse_is_throttled_then_checkpointed_then_stopped() {
    let mut ledger = Ledger::default();
    let index = ledger.announce(worker("a", "erdenet", resources(8_000, 8_192, 0)));
    for (task, urgency) in [
        ("urgent", Urgency::Urgent),
        ("low", Urgency::Low),
        ("modest", Urgency::Low),
    ] {
        ledger
            .allocate(index, task, allocation(resources(2_000, 2_048, 0), urgency))
            .unwrap();
    }
    let worker = ledger.worker(index).unwrap();
    let mut now = Instant::now();
    let mut overuse = Overuse::default();
    let usage = |cpu_millis: u64| -> IndexMap<String, Resources> {
        let used = resources(cpu_millis, 1_024, 0);
        [
            ("urgent".into(), used),
            ("low".into(), used),
            ("modest".into(), resources(100, 64, 0)),
        ]
        .into()
    };
    assert_eq!(overuse.assess(worker, &usage(3_500), now), []);
    for measure in [Measure::Throttle, Measure::Checkpoint, Measure::Stop] {
        let actions = overuse.assess(worker, &usage(4_500), now);
        assert_eq!(
            (actions[0].task.as_str(), actions[0].measure),
            ("low", measure)
        );
        assert!(
            actions[0].reason.contains("worker a uses"),
            "{}",
            actions[0].reason
        );
        now += Duration::from_secs(5);
        assert_eq!(
            overuse.assess(worker, &usage(4_500), now),
            [],
            "a second measure before {measure} could take effect"
        );
        now += Duration::from_secs(5);
    }
    let next = overuse.assess(worker, &usage(4_500), now);
    assert_eq!(
        (next[0].task.as_str(), next[0].measure),
        ("urgent", Measure::Throttle)
    );
}

/// Guards against estimates that rest on too few observations, and against estimates that old
/// observations still dominate after a workload has changed.
#[test]
fn estimates_follow_a_workload_that_changes() {
    let start = Instant::now();
    let mut estimates = Estimates::default();
    estimates.record_run("w", Duration::from_secs(100), start);
    assert_eq!(estimates.run_time("w", 0.9, start), None);
    for _ in 0..50 {
        estimates.record_run("w", Duration::from_secs(100), start);
    }
    let first = estimates.run_time("w", 0.9, start).unwrap();
    assert!((100..120).contains(&first.as_secs()), "{first:?}");
    let later = start + Duration::from_secs(24 * 3_600);
    for _ in 0..5 {
        estimates.record_run("w", Duration::from_secs(10), later);
    }
    let changed = estimates.run_time("w", 0.9, later).unwrap();
    assert!((10..12).contains(&changed.as_secs()), "{changed:?}");
}

/// Guards against a faulty worker that continues to receive tasks, against the quarantine of a
/// healthy worker because of a workload that fails everywhere, and against a quarantine that never
/// ends.
#[test]
fn only_a_faulty_worker_is_quarantined_and_probed() {
    let mut now = Instant::now();
    let mut quarantine = Quarantine::default();
    for round in 0..200 {
        for worker in 0..20 {
            quarantine.record(worker, "broken", true, 20, now);
            quarantine.record(worker, "sound", round % 50 == 0 && worker == 3, 20, now);
        }
    }
    assert_eq!(
        quarantine.quarantined(),
        0,
        "quarantined because of a workload that fails everywhere"
    );
    // Failures count as evidence only while the same workload succeeds on other workers.
    let failures = (0..20).position(|_| {
        quarantine.record(3, "sound", false, 20, now);
        quarantine.record(4, "sound", false, 20, now);
        quarantine.record(7, "sound", true, 20, now)
    });
    let failures = failures.expect("the faulty worker is quarantined");
    assert!(failures < 10, "{failures}");
    assert!(!quarantine.accepts_tasks(7));
    let HealthState::Quarantined { probe_at } = quarantine.health_state(7) else {
        panic!("{:?}", quarantine.health_state(7));
    };
    now = probe_at;
    assert_eq!(quarantine.begin_probes(now), [7]);
    quarantine.record_start(7);
    assert!(
        !quarantine.accepts_tasks(7),
        "a second probe task while the first is running"
    );
    quarantine.record(7, "sound", true, 20, now);
    assert!(
        matches!(quarantine.health_state(7), HealthState::Quarantined { probe_at: next } if next > now)
    );
    now += Duration::from_secs(7_200);
    quarantine.begin_probes(now);
    for _ in 0..3 {
        quarantine.record_start(7);
        quarantine.record(7, "sound", false, 20, now);
    }
    assert_eq!(quarantine.health_state(7), HealthState::Healthy);
}

/// Guards against data transfer between regions although a nearer data centre has free resources,
/// and against a task that runs outside its required data centre.
#[test]
fn tasks_are_placed_near_their_data() {
    let cases = [
        // Preferred data centre and region, bytes to transfer, whether the data centre is required;
        // expected data centres, the nearest first. The order outside the region is arbitrary.
        (
            Some("b"),
            Some("orkhon"),
            1 << 30,
            false,
            vec!["b", "a", "c"],
        ),
        (None, Some("khentii"), 1 << 30, false, vec!["c", "a", "b"]),
        (Some("c"), None, 1 << 30, true, vec!["c"]),
    ];
    for (data_centre, region, transfer_bytes, required, expected) in cases {
        let now = Instant::now();
        let mut scheduler = JobScheduler::new(SchedulerSettings::default());
        for (id, region) in [("a", "orkhon"), ("b", "orkhon"), ("c", "khentii")] {
            let mut description = worker(id, id, resources(4_000, 8_192, 0));
            description.region = region.into();
            scheduler.worker_announced(description, &IndexMap::new(), now);
        }
        let mut spec = job("near", 0, resources(4_000, 8_192, 0));
        spec.tasks = 3;
        spec.preference.data_centre = data_centre.map(str::to_owned);
        spec.preference.region = region.map(str::to_owned);
        spec.preference.transfer_bytes = transfer_bytes;
        spec.preference.required = required;
        scheduler.submit(spec, now).unwrap();
        let decisions = scheduler.decide(now, 10);
        let used = decisions.iter().filter_map(|decision| match decision {
            Decision::Start(start) => Some(start.worker.as_str()),
            _ => None,
        });
        let used: Vec<&str> = used.collect();
        let (nearest, others) = used.split_at(1);
        assert_eq!(nearest, &expected[..1]);
        let mut others = others.to_vec();
        if region == Some("khentii") {
            others.sort_unstable();
        }
        assert_eq!(others, &expected[1..]);
    }
}

/// A scheduler whose workers each run four tasks of one member, which has as many tasks waiting.
fn occupied_fleet(workers: usize, now: Instant) -> JobScheduler {
    let mut scheduler = JobScheduler::new(SchedulerSettings::default());
    for number in 0..workers {
        let description = worker(
            &format!("w{number}"),
            "erdenet",
            resources(16_000, 32_768, 0),
        );
        scheduler.worker_announced(description, &IndexMap::new(), now);
    }
    for number in 0..workers * 8 {
        scheduler
            .submit(
                job(&format!("initial{number}"), 0, resources(4_000, 8_192, 0)),
                now,
            )
            .unwrap();
    }
    assert_eq!(scheduler.decide(now, 10_000).len(), workers * 4);
    scheduler
}

/// Guards against a member below its share that waits longer than the bound documented in
/// `job_scheduler::clearing`: the time after which a worker is reserved plus, for each group of
/// `max_reserved_workers` waiting members, one search interval and the time that preempted tasks
/// take to stop.
#[test]
fn a_member_below_its_share_waits_no_longer_than_the_bound() {
    for (members, weight) in [(1, 1), (10, 1), (30, 3), (60, 1)] {
        let mut now = Instant::now() + Duration::from_secs(100);
        let mut scheduler = occupied_fleet(20, now);
        let settings = SchedulerSettings::default();
        scheduler.set_team(
            "team-0",
            TeamShare {
                weight,
                ..TeamShare::default()
            },
        );
        let submitted = now;
        for member in 1..=members {
            let mut spec = job(&format!("late{member}"), member, resources(4_000, 8_192, 0));
            spec.urgency = Urgency::Low;
            scheduler.submit(spec, now).unwrap();
        }
        let groups = members.div_ceil(settings.max_reserved_workers) as u32;
        let stop_time = Duration::from_secs(1);
        let step = Duration::from_millis(50);
        let per_group = settings.starvation_interval + stop_time + step * 2;
        let bound = settings.starvation_after + per_group * groups;
        let mut stopping: Vec<(Instant, String)> = Vec::new();
        let mut waiting = members;
        while waiting > 0 {
            assert!(
                now - submitted <= bound,
                "{waiting} of {members} still wait after {bound:?}"
            );
            for decision in scheduler.decide(now, 1_000) {
                match decision {
                    Decision::Start(start) if start.job.starts_with("late") => waiting -= 1,
                    Decision::Preempt { task, reason, .. } => {
                        assert_eq!(reason, PreemptReason::BelowShare);
                        stopping.push((now + stop_time, task));
                    }
                    _ => {}
                }
            }
            now += step;
            for (_, task) in stopping.extract_if(.., |(at, _)| *at <= now) {
                scheduler.task_ended(&task, TaskEnd::Stopped, now);
            }
        }
    }
}

/// Guards against a gang that starves because small jobs occupy all resources as soon as they are
/// released, and against two gangs that each hold resources that the other needs.
#[test]
fn gangs_start_despite_a_stream_of_small_jobs() {
    let mut now = Instant::now();
    let mut scheduler = occupied_fleet(8, now);
    let submitted = now;
    for gang in 0..3 {
        let mut spec = job(
            &format!("gang{gang}"),
            gang + 1,
            resources(16_000, 32_768, 0),
        );
        (spec.kind, spec.tasks) = ("gang".into(), 5);
        scheduler.submit(spec, now).unwrap();
    }
    let mut running: Vec<(Instant, String)> = Vec::new();
    let initial = scheduler
        .ledger()
        .workers()
        .flat_map(|(_, worker)| worker.allocations().keys());
    let initial: Vec<String> = initial.cloned().collect();
    running.extend(
        initial
            .into_iter()
            .enumerate()
            .map(|(at, task)| (now + Duration::from_secs(10 + at as u64), task)),
    );
    let mut started = 0;
    let mut small = 0;
    while started < 15 {
        assert!(
            now - submitted < Duration::from_secs(1_200),
            "only {started} of 15 gang tasks started"
        );
        small += 1;
        scheduler
            .submit(
                job(&format!("small{small}"), 0, resources(4_000, 8_192, 0)),
                now,
            )
            .unwrap();
        for decision in scheduler.decide(now, 1_000) {
            match decision {
                Decision::Start(start) => {
                    started += u32::from(start.job.starts_with("gang"));
                    // Half of the tasks run three times as long as declared.
                    let run_s = if small % 2 == 0 { 30 } else { 90 };
                    running.push((now + Duration::from_secs(run_s), start.task));
                }
                Decision::Preempt { task, .. } => {
                    running.push((now + Duration::from_secs(2), task));
                }
                _ => {}
            }
        }
        now += Duration::from_secs(1);
        for (_, task) in running.extract_if(.., |(at, _)| *at <= now) {
            scheduler.task_ended(&task, TaskEnd::Succeeded, now);
        }
    }
}
