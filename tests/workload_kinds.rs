//! Test of a workload kind that is registered outside the library.

mod job_support;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use job_support::fixtures::{job, resources, worker};
use jujubewinch::kernel::{self, Placing, Preemption, Queueing, Retry, WorkloadKind, declared_run};
use jujubewinch::scheduling::job::TaskEnd;
use jujubewinch::scheduling::job_scheduler::{
    Decision, JobScheduler, SchedulerSettings, SubmitError,
};

inventory::submit! {
    WorkloadKind {
        name: "canary",
        queueing: |_| Queueing::EachTask,
        placing: |_| Placing::SpreadOverRacks,
        retrying: |_, end, _| match end {
            TaskEnd::Succeeded => Retry::Done,
            _ => Retry::GiveUp(format!("the canary was {end}")),
        },
        preempting: |_| Preemption::Stop,
        run_time: declared_run,
    }
}

/// Guards against a scheduler that depends on the names of kinds, so that a new kind would require
/// changes in other modules.
#[test]
fn a_registered_kind_requires_no_other_changes() {
    assert_eq!(kernel::names(), ["batch", "canary", "gang", "service"]);
    let now = Instant::now();
    let mut scheduler = JobScheduler::new(SchedulerSettings::default());
    for id in ["a", "b"] {
        let description = worker(id, "erdenet", resources(16_000, 32_768, 0));
        scheduler.worker_announced(description, &IndexMap::new(), now);
    }
    let mut spec = job("probe", 0, resources(1_000, 1_024, 0));
    (spec.kind, spec.tasks) = ("canary".into(), 2);
    scheduler.submit(spec.clone(), now).unwrap();
    let decisions = scheduler.decide(now, 10);
    let starts = decisions.iter().map(|decision| match decision {
        Decision::Start(start) => (start.task.clone(), start.worker.clone()),
        other => panic!("{other:?}"),
    });
    let starts: Vec<_> = starts.collect();
    assert_ne!(starts[0].1, starts[1].1, "replicas share a rack");
    let later = now + Duration::from_secs(1);
    scheduler.task_ended(&starts[0].0, TaskEnd::Failed, later);
    let ended = scheduler
        .task_ended(&starts[1].0, TaskEnd::Succeeded, later)
        .job
        .unwrap();
    assert_eq!((ended.succeeded, ended.failed), (1, 1));
    assert_eq!(ended.reason, "the canary was failed");
    spec.kind = "canery".into();
    let unknown = scheduler.submit(spec, later).unwrap_err();
    assert!(matches!(&unknown, SubmitError::UnknownKind { known, .. } if known.contains("canary")));
}
