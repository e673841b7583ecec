//! Load and experiment tool with open-loop timing.

pub mod check;
pub mod experiment;
pub mod plots;
pub mod report;
pub mod run;

use std::net::SocketAddr;

use check::Findings;
use experiment::Experiment;
use report::ExperimentResult;

/// Runs an experiment and checks it against the executions of the runners, when some are named.
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
