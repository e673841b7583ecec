//! Tests of the load generator: reproducible plans, correct checks and readable results.

use jujubewinch::agent::executions::ReportedExecution;
use jujubewinch::load::check::check;
use jujubewinch::load::experiment::Experiment;
use jujubewinch::load::report::{ExperimentResult, compare};
use jujubewinch::load::run::{Attempt, Recording};
use jujubewinch::verdict::Verdict;

const EXPERIMENTS: [&str; 5] = [
    include_str!("../experiments/normal-day.toml"),
    include_str!("../experiments/flood-least-urgent.toml"),
    include_str!("../experiments/flood-most-urgent.toml"),
    include_str!("../experiments/cancellation-burst.toml"),
    include_str!("../experiments/failing-runner.toml"),
];

fn attempt(idempotent: bool, verdict: Option<Verdict>, started_us: u64) -> Attempt {
    Attempt {
        number: 0,
        workload: 0,
        idempotent,
        verdict,
        status: 200,
        answer_is_valid: true,
        wait_us: Some(1_000),
        latency_us: 2_000,
        started_us,
        ended_us: started_us + 10,
        cancellation: false,
    }
}

fn execution(started_us: u64, ended_us: u64) -> ReportedExecution {
    ReportedExecution {
        task: format!("task-{started_us}"),
        token: "run.0".to_owned(),
        started_us,
        ended_us: Some(ended_us),
    }
}

/// Guards against bundled experiments that are invalid, that send other requests when repeated or
/// that last longer than their stated time.
#[test]
fn bundled_experiments_are_valid_and_reproducible() {
    for text in EXPERIMENTS {
        let experiment: Experiment = toml::from_str(text).expect("the file is valid");
        experiment.check().expect("the values are in range");
        let (plan, repeated_plan) = (experiment.plan(), experiment.plan());
        assert!(!plan.is_empty());
        assert_eq!(format!("{plan:?}"), format!("{repeated_plan:?}"));
        let last_us = plan.iter().map(|planned| planned.at_us).max();
        assert!(last_us < Some(experiment.seconds * 1_000_000 + 10_000));
    }
}

/// Guards against a check that misses violated guarantees to callers, or that reports violations
/// of guarantees that were kept.
#[test]
fn violated_guarantees_are_found() {
    use Verdict::{DidNotRun, MayHaveRun, Ran};
    let cancelled = Attempt {
        cancellation: true,
        ..attempt(false, Some(DidNotRun), 100)
    };
    let truncated = Attempt {
        answer_is_valid: false,
        ..attempt(true, Some(Ran), 0)
    };
    let once = vec![execution(0, 10)];
    let sequential = vec![execution(0, 10), execution(10, 20)];
    let overlapping = vec![execution(0, 10), execution(5, 20)];
    let cases = [
        (
            "ran once",
            vec![attempt(false, Some(Ran), 0)],
            once.clone(),
            0,
        ),
        (
            "ran twice",
            vec![attempt(false, Some(Ran), 0)],
            sequential.clone(),
            1,
        ),
        (
            "idempotent, repeated",
            vec![attempt(true, Some(Ran), 0)],
            sequential,
            0,
        ),
        (
            "idempotent, at once",
            vec![attempt(true, Some(Ran), 0)],
            overlapping,
            1,
        ),
        (
            "refused",
            vec![attempt(true, Some(DidNotRun), 0)],
            Vec::new(),
            0,
        ),
        (
            "refused, but ran",
            vec![attempt(true, Some(DidNotRun), 0)],
            once.clone(),
            1,
        ),
        (
            "refused, then ran",
            vec![
                attempt(false, Some(DidNotRun), 0),
                attempt(false, Some(Ran), 5),
            ],
            once.clone(),
            0,
        ),
        ("no response", vec![attempt(true, None, 0)], once.clone(), 0),
        (
            "unknown",
            vec![attempt(false, Some(MayHaveRun), 0)],
            Vec::new(),
            0,
        ),
        (
            "ran without execution",
            vec![attempt(true, Some(Ran), 0)],
            Vec::new(),
            1,
        ),
        ("truncated answer", vec![truncated], once.clone(), 1),
        (
            "cancelled, but ran",
            vec![attempt(false, Some(MayHaveRun), 0), cancelled.clone()],
            once.clone(),
            1,
        ),
        (
            "cancelled, then a copy ran",
            vec![cancelled, attempt(false, Some(Ran), 200)],
            once,
            1,
        ),
    ];
    for (name, attempts, executions, violations) in cases {
        let recording = Recording {
            token_prefix: "run.".to_owned(),
            attempts,
            ..Recording::default()
        };
        let findings = check(&recording, Some(&executions));
        assert_eq!(
            findings.violations, violations,
            "{name}: {:?}",
            findings.descriptions
        );
    }
}

/// Guards against results that change when they are written and read back, and against pages that
/// depend on other files.
#[test]
fn results_can_be_read_back_compared_and_displayed() {
    let experiment: Experiment = toml::from_str(EXPERIMENTS[0]).expect("the file is valid");
    let recording = Recording {
        attempts: vec![attempt(true, Some(Verdict::Ran), 0)],
        ..Recording::default()
    };
    let result = ExperimentResult::new(&experiment, &recording, check(&recording, None));
    let json = serde_json::to_string(&result).expect("results are valid JSON");
    let read: ExperimentResult = serde_json::from_str(&json).expect("the result is read back");
    assert_eq!(read, result);
    assert!(compare(&read, &result).contains("ulaan-wheel"));
    let page = result.to_html();
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(!page.contains("href=") && !page.contains("src="));
}
