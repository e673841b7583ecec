//! `load`: runs experiments, or a plain load at a fixed rate, and compares results.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{CommandError, Subcommand};
use crate::load::experiment::{Experiment, Workload};
use crate::load::report::{ExperimentResult, compare};
use crate::load::run_experiment;
use crate::options::arguments::value;

/// Limit of requests in flight for a plain load.
const MAX_IN_FLIGHT: usize = 128;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("load")
        .about("Run an experiment or send requests at a fixed rate, and report the figures")
        .after_help(
            "Examples:\n  jujubewinch load --entry 127.0.0.1:7101 --requests 3000 --rate 500\n  \
             jujubewinch load --experiment experiments/normal-day.toml --runner 127.0.0.1:7401 \
             --json normal-day.json --html normal-day.html\n  \
             jujubewinch load compare normal-day.json flood.json",
        )
        .args_conflicts_with_subcommands(true)
        .subcommand(compare_arguments())
        .arg(addresses("entry", "Caller address of an entry host; may be repeated").default_value("127.0.0.1:7101"))
        .arg(addresses("runner", "Address of a stand-in runner whose executions are compared with the answers; may be repeated"))
        .arg(file("experiment", "Experiment in TOML; the options of a plain load are then not used"))
        .arg(file("json", "Write the result as JSON"))
        .arg(file("html", "Write a page with plots"))
        .arg(
            Arg::new("service")
                .long("service")
                .default_value("wheel-orders")
                .help("Service"),
        )
        .arg(number("requests", "3000").help("Requests in all"))
        .arg(number("rate", "500").help("Requests started per second"))
        .arg(number("work-ms", "5").help("Execution time of each request"))
        .arg(number("timeout-ms", "10000").help("Time until a request becomes useless"))
}

fn compare_arguments() -> Command {
    let result = |name: &'static str| {
        Arg::new(name)
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Result in JSON")
    };
    Command::new("compare")
        .about("Compare two results member by member")
        .arg(result("A"))
        .arg(result("B"))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    if let Some(matches) = matches.subcommand_matches("compare") {
        return run_compare(matches);
    }
    let experiment = match matches.get_one::<PathBuf>("experiment") {
        Some(path) => Experiment::load(path),
        None => plain_load(matches),
    };
    let experiment = experiment.map_err(|error| CommandError::Usage(error.to_string()))?;
    let list = |name: &str| -> Vec<SocketAddr> {
        let values = matches.get_many(name);
        values.into_iter().flatten().copied().collect()
    };
    let result = run_experiment(&experiment, &list("entry"), &list("runner"));
    print!("{}", result.to_text());
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let json = serde_json::to_vec_pretty(&result)
            .map_err(|error| CommandError::Failed(error.to_string()))?;
        write(path, &json)?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("html") {
        write(path, result.to_html().as_bytes())?;
    }
    if result.findings.violations > 0 {
        return Err(CommandError::Failed(format!(
            "{} violations of guarantees to callers",
            result.findings.violations
        )));
    }
    Ok(())
}

fn run_compare(matches: &ArgMatches) -> Result<(), CommandError> {
    let load = |name| ExperimentResult::load(&value::<PathBuf>(matches, name));
    let (first, second) = (load("A"), load("B"));
    let first = first.map_err(CommandError::Usage)?;
    let second = second.map_err(CommandError::Usage)?;
    print!("{}", compare(&first, &second));
    Ok(())
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), CommandError> {
    std::fs::write(path, bytes)
        .map_err(|error| CommandError::Failed(format!("cannot write {}: {error}", path.display())))
}

/// Builds an experiment of evenly spaced idempotent requests from one member.
fn plain_load(
    matches: &ArgMatches,
) -> Result<Experiment, crate::load::experiment::ExperimentError> {
    let requests: u64 = value(matches, "requests");
    let rate: u64 = value(matches, "rate");
    let experiment = Experiment {
        name: "plain load".to_owned(),
        seed: 1,
        seconds: requests.div_ceil(rate),
        max_requests: usize::try_from(requests).unwrap_or(usize::MAX),
        max_in_flight: MAX_IN_FLIGHT,
        rate_per_second: rate as f64,
        workloads: vec![Workload {
            service: value(matches, "service"),
            even: true,
            work_ms: value(matches, "work-ms"),
            timeout_ms: value(matches, "timeout-ms"),
            ..Workload::default()
        }],
        cancellations: Vec::new(),
    };
    experiment.check()?;
    Ok(experiment)
}
