//! Tests which worker heartbeats storage hosts acknowledge without the placer.

mod platform_support;

use std::time::{Duration, Instant};

use http::Method;
use jujubewinch::resources::Resources;
use jujubewinch::workflow::decisions::heartbeats::{is_known, may_be_outdated};
use jujubewinch::workflow::records::Record;
use jujubewinch::workflow::state::WorkflowState;
use jujubewinch::workflow::workers::{WorkerHeartbeat, WorkerRecord};
use platform_support::{Cell, Ports, Runner, await_some, heartbeat};
use serde_json::Value;

fn record() -> WorkerRecord {
    WorkerRecord {
        id: "w".to_owned(),
        incarnation: 4,
        address: "10.0.0.9:80".to_owned(),
        service: "shopdesk".to_owned(),
        data_centre: "lowell-yard".to_owned(),
        capacity: Resources {
            cpu_millis: 4_000,
            memory_mib: 4_000,
            accelerators: 0,
        },
        labels: vec!["a".to_owned()],
        draining: false,
    }
}

/// Guards against heartbeats that are acknowledged although the placer does not know the state they
/// report: a drain, another address, another incarnation of the worker.
#[test]
fn only_heartbeats_without_changes_are_known() {
    let changed = |change: fn(&mut WorkerRecord)| {
        let mut record = record();
        change(&mut record);
        record
    };
    let draining = changed(|record| record.draining = true);
    let committed = record();
    let cases = [
        (
            "equal to the committed record",
            Some(&committed),
            record(),
            None,
            true,
        ),
        (
            "a later heartbeat",
            Some(&committed),
            record(),
            Some((4, 6)),
            true,
        ),
        (
            "the first heartbeat after a restart",
            Some(&committed),
            record(),
            Some((3, 90)),
            true,
        ),
        (
            "a repeated heartbeat",
            Some(&committed),
            record(),
            Some((4, 7)),
            false,
        ),
        (
            "a delayed heartbeat",
            Some(&committed),
            record(),
            Some((4, 8)),
            false,
        ),
        ("unknown worker", None, record(), None, false),
        ("draining", Some(&committed), draining.clone(), None, false),
        (
            "draining as committed",
            Some(&draining),
            draining.clone(),
            None,
            false,
        ),
        ("drain ended", Some(&draining), record(), None, false),
        (
            "other address",
            Some(&committed),
            changed(|record| record.address = "10.0.0.8:80".to_owned()),
            None,
            false,
        ),
        (
            "smaller capacity",
            Some(&committed),
            changed(|record| record.capacity.cpu_millis = 2_000),
            None,
            false,
        ),
        (
            "larger capacity",
            Some(&committed),
            changed(|record| record.capacity.memory_mib = 8_000),
            Some((4, 6)),
            false,
        ),
        (
            "next incarnation",
            Some(&committed),
            changed(|record| record.incarnation = 5),
            None,
            false,
        ),
        (
            "former incarnation",
            Some(&committed),
            changed(|record| record.incarnation = 3),
            None,
            false,
        ),
    ];
    for (name, committed, record, latest, known) in cases {
        let heartbeat = WorkerHeartbeat {
            record,
            sequence: 7,
        };
        assert_eq!(is_known(&heartbeat, committed, latest), known, "{name}");
    }
}

/// Guards against a new placer that relies on capacities which may have shrunk while the cell had no
/// placer, and against one that waits for heartbeats after each change of the placer.
#[test]
fn records_are_outdated_after_a_long_time_without_a_placer() {
    let now = Instant::now() + Duration::from_secs(60);
    let before = |time_ms| Some(now - Duration::from_millis(time_ms));
    assert!(may_be_outdated(None, now), "no leader since the start");
    assert!(may_be_outdated(before(2_000), now));
    assert!(!may_be_outdated(before(1_000), now));
}

/// Guards against a worker that is waited for although it sent a heartbeat, and against one that is
/// trusted although it did not.
#[test]
fn a_heartbeat_makes_the_record_of_its_worker_current() {
    let announced = |id: &str| Record::WorkerAnnounced {
        worker: Box::new(WorkerRecord {
            id: id.to_owned(),
            ..record()
        }),
        heartbeat_sequence: 7,
    };
    let (first, second) = ("v".to_owned(), "w".to_owned());
    let mut state = WorkflowState::default();
    state.apply_record(announced(&first));
    state.apply_record(announced(&second));
    assert!(state.current_worker(&second).is_some());
    state.apply_record(Record::WorkersOutdated);
    state.apply_record(announced(&first));
    assert!(state.current_worker(&first).is_some());
    assert!(state.current_worker(&second).is_none());
    state.apply_record(Record::WorkerLeft {
        worker: second.clone(),
        incarnation: 4,
    });
    assert!(state.outdated_workers.is_empty());
    assert!(!state.heartbeat_sequences.contains_key(&second));
}

/// Guards against a leader that receives every heartbeat of every worker, and against a storage
/// host without a leader that acknowledges heartbeats from its earlier state.
#[test]
fn storage_hosts_acknowledge_heartbeats_only_while_they_have_a_leader() {
    let folder = tempfile::tempdir().unwrap();
    let ports = Ports::starting_at(17_380);
    let cell = Cell::start(folder.path(), ports);
    assert_eq!(cell.configure(1).status, 200);
    let runner = Runner::start();
    cell.announce("i-1", &runner, 1);
    let mut sequence = 1;
    let mut send_heartbeat = |host: usize| {
        sequence += 1;
        let url = format!("http://127.0.0.{host}:{}/api/instances/i-1", ports.control);
        cell.send(Method::PUT, &url, &heartbeat(&runner, sequence))
    };
    for host in 1..=3 {
        let answer = await_some(|| send_heartbeat(host).filter(|answer| answer.status == 200));
        let body: Value = serde_json::from_slice(&answer.body).unwrap();
        let expected = format!("127.0.0.{host}:{}", ports.control);
        assert_eq!(body["heartbeat_addr"].as_str(), Some(expected.as_str()));
    }
    let leader = await_some(|| cell.leader());
    let (follower, remaining) = ((leader + 1) % 3, (leader + 2) % 3);
    cell.hosts[leader].crash();
    cell.hosts[follower].crash();
    await_some(|| send_heartbeat(remaining + 1).filter(|answer| answer.status == 503));
    let later = send_heartbeat(remaining + 1).unwrap();
    assert_eq!(later.status, 503);
}
