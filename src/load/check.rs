//! Compares the verdicts that callers received with the executions that runners recorded.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::run::{Attempt, Recording};
use crate::agent::executions::{ExecutionList, ReportedExecution};
use crate::http::client::ClientRequest;
use crate::http::{Client, ClientOptions};
use crate::verdict::Verdict;

/// Timeout for fetching the executions of one runner.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of the response with the executions of one runner.
const MAX_LIST_BYTES: u64 = 512 * 1024 * 1024;
/// Limit of described violations; all are counted.
const MAX_DESCRIBED: usize = 50;

/// Result of checking a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Findings {
    /// Whether the executions of the runners were compared.
    pub executions_checked: bool,
    /// Number of recorded executions of the run's requests.
    pub executions: usize,
    /// Number of violated guarantees to callers.
    pub violations: usize,
    /// Descriptions of the first violations; their number is limited.
    pub descriptions: Vec<String>,
}

impl Findings {
    fn add_violation(&mut self, description: String) {
        self.violations += 1;
        if self.descriptions.len() < MAX_DESCRIBED {
            self.descriptions.push(description);
        }
    }
}

/// Fetches the executions of a run from all runners; `token_prefix` identifies the run.
///
/// # Errors
///
/// Returns a message if a runner does not answer or did not record all executions.
pub fn fetch_executions(
    runners: &[SocketAddr],
    token_prefix: &str,
) -> Result<Vec<ReportedExecution>, String> {
    let client = Client::new(ClientOptions {
        max_body_bytes: MAX_LIST_BYTES,
        ..ClientOptions::default()
    });
    let mut executions = Vec::new();
    for runner in runners {
        let url = format!("http://{runner}/v1/executions?token_prefix={token_prefix}");
        let request = ClientRequest::new(Method::GET, url, Instant::now() + LIST_TIMEOUT);
        let response = client.send(request).map_err(|error| error.to_string())?;
        let list: ExecutionList = serde_json::from_slice(&response.body)
            .map_err(|error| format!("runner {runner}: {error}"))?;
        if list.not_recorded > 0 {
            return Err(format!("runner {runner} did not record all executions"));
        }
        executions.extend(list.executions);
    }
    Ok(executions)
}

/// Checks the attempts of a run; without executions, only the content of the answers is checked.
pub fn check(recording: &Recording, executions: Option<&[ReportedExecution]>) -> Findings {
    let mut findings = Findings {
        executions_checked: executions.is_some(),
        executions: executions.map_or(0, <[ReportedExecution]>::len),
        ..Findings::default()
    };
    let mut attempts: IndexMap<usize, Vec<&Attempt>> = IndexMap::new();
    for attempt in &recording.attempts {
        attempts.entry(attempt.number).or_default().push(attempt);
        if !attempt.answer_is_valid {
            findings.add_violation(format!(
                "request {}: the answer is cut or foreign",
                attempt.number
            ));
        }
    }
    let Some(executions) = executions else {
        return findings;
    };
    let mut executions_by_number: IndexMap<usize, Vec<&ReportedExecution>> = IndexMap::new();
    for execution in executions {
        let number = execution.token.strip_prefix(&recording.token_prefix);
        if let Some(number) = number.and_then(|text| text.parse().ok()) {
            executions_by_number
                .entry(number)
                .or_default()
                .push(execution);
        }
    }
    for (number, attempts) in &attempts {
        let executed = executions_by_number
            .get(number)
            .map(Vec::as_slice)
            .unwrap_or_default();
        check_request(*number, attempts, executed, &mut findings);
    }
    findings
}

fn check_request(
    number: usize,
    attempts: &[&Attempt],
    executions: &[&ReportedExecution],
    findings: &mut Findings,
) {
    let idempotent = attempts.iter().all(|attempt| attempt.idempotent);
    if !idempotent && executions.len() > 1 {
        findings.add_violation(format!(
            "request {number}: not idempotent, but executed {} times: {}",
            executions.len(),
            describe(attempts, executions)
        ));
    }
    if idempotent && any_overlap(executions) {
        findings.add_violation(format!("request {number}: executed in two places at once"));
    }
    let received = |verdict| {
        attempts
            .iter()
            .any(|attempt| attempt.verdict == Some(verdict))
    };
    // Another attempt with the same key may run after an attempt that did not run, or at the same
    // time; the caller then receives both verdicts.
    let only_rejected = received(Verdict::DidNotRun)
        && attempts
            .iter()
            .all(|attempt| attempt.verdict == Some(Verdict::DidNotRun));
    // A confirmed cancellation is final for its key, also for attempts that are sent later.
    let cancelled = attempts.iter().any(|attempt| attempt.cancellation);
    if (only_rejected || cancelled) && !executions.is_empty() {
        findings.add_violation(format!(
            "request {number}: the caller was told that it did not run, but it was executed: {}",
            describe(attempts, executions)
        ));
    }
    if received(Verdict::Ran) && executions.is_empty() {
        findings.add_violation(format!(
            "request {number}: the caller was told that it ran, but it was not executed"
        ));
    }
}

fn describe(attempts: &[&Attempt], executions: &[&ReportedExecution]) -> String {
    let attempts: Vec<String> = attempts
        .iter()
        .map(|attempt| {
            let verdict = attempt
                .verdict
                .map_or("no response".to_owned(), |verdict| verdict.to_string());
            let kind = if attempt.cancellation {
                "cancellation"
            } else {
                "attempt"
            };
            let (from_us, to_us) = (attempt.started_us, attempt.ended_us);
            format!(
                "{kind} from {from_us} to {to_us} us {verdict} {}",
                attempt.status
            )
        })
        .collect();
    let executions: Vec<String> = executions
        .iter()
        .map(|execution| format!("execution of task {}", execution.task))
        .collect();
    [attempts, executions].concat().join(", ")
}

/// Whether two executions overlap in time; an execution without an end counts as still running.
fn any_overlap(executions: &[&ReportedExecution]) -> bool {
    let mut sorted: Vec<(u64, u64)> = executions
        .iter()
        .map(|execution| (execution.started_us, execution.ended_us.unwrap_or(u64::MAX)))
        .collect();
    sorted.sort_unstable();
    sorted.windows(2).any(|pair| pair[1].0 < pair[0].1)
}
