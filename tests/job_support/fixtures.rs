//! Descriptions of workers and specifications of jobs for tests of the scheduling modules.

use jujubewinch::protocol::caller::Urgency;
use jujubewinch::resources::Resources;
use jujubewinch::scheduling::job::{JobSpec, LocationPreference};
use jujubewinch::scheduling::ledger::WorkerDescription;

pub fn resources(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mib,
        accelerators,
    }
}

/// A worker in a rack of its own.
pub fn worker(id: &str, data_centre: &str, capacity: Resources) -> WorkerDescription {
    WorkerDescription {
        id: id.into(),
        incarnation: 1,
        rack: format!("rack-{id}"),
        data_centre: data_centre.into(),
        region: "orkhon".into(),
        capacity,
        leaving: false,
    }
}

/// A batch job of one task with a declared run time of 30 s.
pub fn job(id: &str, member: usize, need: Resources) -> JobSpec {
    JobSpec {
        id: id.into(),
        kind: "batch".into(),
        member: format!("team-{member}"),
        caller: "nightly".into(),
        workload: "wheel-rendering".into(),
        tasks: 1,
        resources: need,
        expected_run_ms: Some(30_000),
        urgency: Urgency::Normal,
        at_most_once: false,
        preference: LocationPreference::default(),
        payload: Vec::new(),
    }
}
