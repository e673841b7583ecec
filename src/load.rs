//! Open-loop load generator: sends the requests of an experiment at planned times, checks the
//! answers and reports the figures.

pub mod check;
pub mod experiment;
pub mod plots;
pub mod report;
pub mod run;

use std::net::SocketAddr;

use check::Findings;
use experiment::Experiment;
use report::ExperimentResult;

/// Runs an experiment and checks its answers, also against the executions that the runners
/// recorded, unless `runners` is empty. Executions that cannot be fetched count as a violation.
pub fn run_experiment(
    experiment: &Experiment,
    entry_hosts: &[SocketAddr],
    runners: &[SocketAddr],
) -> ExperimentResult {
    let recording = run::run(experiment, entry_hosts);
    let findings = if runners.is_empty() {
        check::check(&recording, None)
    } else {
        match check::fetch_executions(runners, &recording.token_prefix) {
            Ok(executions) => check::check(&recording, Some(&executions)),
            Err(error) => Findings {
                violations: 1,
                descriptions: vec![format!("the executions cannot be compared: {error}")],
                ..Findings::default()
            },
        }
    };
    ExperimentResult::new(experiment, &recording, findings)
}
