//! State built from the records of the placement log: retention, late records, and the verdict over
//! all attempts of a request.

mod placer_support;

use jujubewinch::placer::job_records::{JobState, decode_snapshot, encode_snapshot};
use jujubewinch::placer::records::{
    Cancellation, Completion, Intent, PlacementRecord, PlacementState, RequestDigest,
};
use jujubewinch::protocol::caller::Answer;
use jujubewinch::verdict::{ErrorCode, RequestError, Verdict};
use placer_support::verdict;

fn intent(key: &str, former: Option<&str>, task: &str, epoch: u64, now: u64) -> PlacementRecord {
    PlacementRecord::Intent(Intent {
        key: key.to_owned(),
        digest: RequestDigest::default(),
        idempotent: false,
        task: task.to_owned(),
        former: former.map(str::to_owned),
        former_may_have_run: false,
        worker: "worker-1".to_owned(),
        incarnation: 1,
        address: "worker-1".to_owned(),
        epoch,
        deadline_unix_ms: now + 1_000,
        now_unix_ms: now,
    })
}

fn completion(
    key: &str,
    task: &str,
    outcome: Result<Answer, RequestError>,
    now: u64,
) -> PlacementRecord {
    PlacementRecord::Completion(Completion {
        key: key.to_owned(),
        task: task.to_owned(),
        outcome,
        over: true,
        now_unix_ms: now,
        keep_until_unix_ms: now + 100,
        max_answer_bytes: 25,
    })
}

fn answer(bytes: usize) -> Result<Answer, RequestError> {
    Ok(Answer {
        body: vec![b'.'; bytes],
        wait_us: 0,
    })
}

/// Guards against records and answers that grow without bound, and against replicas that drop
/// different ones.
#[test]
fn records_are_dropped_by_age_and_answers_by_size() {
    let mut records = vec![PlacementRecord::Takeover {
        epoch: 1,
        now_unix_ms: 1_000,
    }];
    for (index, key) in ["a", "b", "c"].into_iter().enumerate() {
        let now = 1_000 + 10 * index as u64;
        records.push(intent(key, None, &format!("{key}-1"), 1, now));
        records.push(completion(key, &format!("{key}-1"), answer(10), now));
    }
    let mut state = PlacementState::default();
    for record in &records {
        state.apply(record.clone());
    }
    assert_eq!(state.answer_bytes, 20);
    let oldest = state.keys["a"].outcome.clone().unwrap().unwrap_err();
    assert_eq!(oldest.verdict, Verdict::Ran);
    assert!(state.keys["b"].outcome.as_ref().unwrap().is_ok());

    state.apply(PlacementRecord::Advance { now_unix_ms: 1_110 });
    let left: Vec<&str> = state.keys.keys().map(String::as_str).collect();
    assert_eq!(left, ["c"]);
    assert_eq!(state.answer_bytes, 10);
    // Setting the clock back must neither restore records nor drop any early.
    state.apply(PlacementRecord::Advance { now_unix_ms: 5 });
    assert_eq!(state.now_unix_ms, 1_110);

    let mut replica = PlacementState::default();
    records.push(PlacementRecord::Advance { now_unix_ms: 1_110 });
    records.push(PlacementRecord::Advance { now_unix_ms: 5 });
    for record in records {
        replica.apply(record);
    }
    assert_eq!(replica, state);
}

/// Guards against late records of replaced placers and of former attempts that still take effect.
#[test]
fn late_records_of_former_attempts_have_no_effect() {
    let refused = || Err(RequestError::did_not_run(ErrorCode::Unavailable, "refused"));
    let takeover = |epoch| PlacementRecord::Takeover {
        epoch,
        now_unix_ms: 1,
    };
    // Name, records, expected latest task of the key.
    let cases = [
        (
            "intent of a former epoch",
            vec![takeover(2), intent("k", None, "old", 1, 1)],
            None,
        ),
        (
            "second first intent",
            vec![
                intent("k", None, "one", 1, 1),
                intent("k", None, "two", 1, 1),
            ],
            Some("one"),
        ),
        (
            "replacement of the latest attempt",
            vec![
                intent("k", None, "one", 1, 1),
                intent("k", Some("one"), "two", 1, 1),
            ],
            Some("two"),
        ),
        (
            "new attempt after a refusal",
            vec![
                intent("k", None, "one", 1, 1),
                completion("k", "one", refused(), 1),
                intent("k", Some("one"), "two", 1, 1),
            ],
            Some("two"),
        ),
        (
            "new attempt after an answer",
            vec![
                intent("k", None, "one", 1, 1),
                completion("k", "one", answer(1), 1),
                intent("k", Some("one"), "two", 1, 1),
            ],
            Some("one"),
        ),
    ];
    for (name, records, expected) in cases {
        let mut state = PlacementState::default();
        for record in records {
            state.apply(record);
        }
        let latest = state.keys.get("k").map(|record| record.task.as_str());
        assert_eq!(latest, expected, "{name}");
    }
    let mut state = PlacementState::default();
    state.apply(intent("k", None, "one", 1, 1));
    state.apply(intent("k", Some("one"), "two", 1, 1));
    state.apply(completion("k", "one", answer(1), 1));
    assert_eq!(state.keys["k"].outcome, None, "completion of a former task");
}

/// Guards against a cancellation that turns "may have run", or an attempt without an outcome, into
/// "did not run", and against attempts after a cancellation.
#[test]
fn a_cancellation_is_final_only_where_nothing_ran() {
    let failed = |verdict: fn(ErrorCode, String) -> RequestError| {
        Err(verdict(ErrorCode::Unavailable, "lost".to_owned()))
    };
    let cases = [
        ("no record", vec![], true),
        ("open attempt", vec![intent("k", None, "one", 1, 1)], false),
        (
            "did not run",
            vec![
                intent("k", None, "one", 1, 1),
                completion("k", "one", failed(RequestError::did_not_run), 1),
            ],
            true,
        ),
        (
            "may have run",
            vec![
                intent("k", None, "one", 1, 1),
                completion("k", "one", failed(RequestError::may_have_run), 1),
            ],
            false,
        ),
        (
            "ran",
            vec![
                intent("k", None, "one", 1, 1),
                completion("k", "one", answer(1), 1),
            ],
            false,
        ),
    ];
    for (name, records, cancelled) in cases {
        let mut state = PlacementState::default();
        records.into_iter().for_each(|record| state.apply(record));
        state.apply(PlacementRecord::Cancellation(Cancellation {
            key: "k".to_owned(),
            digest: RequestDigest::default(),
            epoch: 1,
            now_unix_ms: 2,
            keep_until_unix_ms: 100,
        }));
        state.apply(intent("k", Some("one"), "two", 1, 3));
        state.apply(intent("k", None, "three", 1, 3));
        let outcome = state.keys["k"].outcome.clone();
        let is_cancelled =
            matches!(&outcome, Some(Err(error)) if error.code == ErrorCode::Cancelled);
        assert_eq!(is_cancelled, cancelled, "{name}: {outcome:?}");
    }
}

fn refusal(verdict: Verdict) -> RequestError {
    RequestError {
        verdict,
        ..RequestError::did_not_run(ErrorCode::Unavailable, "refused")
    }
}

/// Guards against the verdict "did not run" although an earlier attempt had started. This occurred
/// after the kill of one placer and the stop of another: the runner had stopped the first attempt,
/// and no runner was available for the second.
#[test]
fn a_refused_attempt_does_not_hide_an_earlier_one() {
    // Covers a first attempt with and without an outcome when the second one begins.
    for first_is_recorded in [true, false] {
        let mut state = PlacementState::default();
        state.apply(intent("k", None, "t1", 0, 1));
        let mut second = intent("k", Some("t1"), "t2", 0, 3);
        if first_is_recorded {
            state.apply(completion("k", "t1", Err(refusal(Verdict::MayHaveRun)), 2));
            // Only an idempotent request may have another attempt.
            state.keys["k"].idempotent = true;
        } else if let PlacementRecord::Intent(second) = &mut second {
            second.former_may_have_run = true;
        }
        state.apply(second);
        state.apply(completion("k", "t2", Err(refusal(Verdict::DidNotRun)), 4));
        let outcome = state.keys["k"].outcome.clone().unwrap();
        assert_eq!(verdict(&outcome), "may_have_run", "{first_is_recorded}");
    }
}

/// Guards against the verdict "may have run" for a request none of whose attempts started.
#[test]
fn attempts_that_never_started_leave_the_verdict_certain() {
    let mut state = PlacementState::default();
    state.apply(intent("k", None, "t1", 0, 1));
    state.apply(completion("k", "t1", Err(refusal(Verdict::DidNotRun)), 2));
    state.apply(intent("k", Some("t1"), "t2", 0, 3));
    state.apply(completion("k", "t2", Err(refusal(Verdict::DidNotRun)), 4));
    let outcome = state.keys["k"].outcome.clone().unwrap();
    assert_eq!(verdict(&outcome), "did_not_run");
}

/// Guards against jobs that run again after a restart from a snapshot that lacks the floor of ids, and
/// against snapshots of earlier versions, which end before it, that cannot be read.
#[test]
fn snapshots_keep_the_floor_of_job_ids() {
    let (mut requests, mut jobs) = (PlacementState::default(), JobState::default());
    requests.apply(intent("erdenet.1.cut", None, "task-1", 1, 1_000));
    let former = postcard::to_stdvec(&(&requests, &jobs)).unwrap();
    assert_eq!(
        decode_snapshot(&former),
        Ok((requests.clone(), jobs.clone()))
    );
    jobs.id_floor_unix_seconds = 7;
    let encoded = encode_snapshot(&requests, &jobs);
    assert_eq!(decode_snapshot(&encoded), Ok((requests, jobs)));
    let truncated = &former[..former.len() - 1];
    assert!(decode_snapshot(truncated).is_err());
}
