//! `load`: sends requests at a fixed rate and reports waiting time and verdicts.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::{CommandError, Subcommand};
use crate::load::{LoadOptions, run_load};
use crate::options::arguments::value;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("load")
        .about("Send requests at a fixed rate and report waiting time and verdicts")
        .after_help(
            "Example:\n  jujubewinch load --entry 127.0.0.1:7101 --requests 3000 --rate 500",
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .action(ArgAction::Append)
                .default_value("127.0.0.1:7101")
                .value_parser(value_parser!(SocketAddr))
                .help("Caller address of an entry host; may be repeated"),
        )
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

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let report = run_load(&LoadOptions {
        entry_hosts: matches
            .get_many("entry")
            .into_iter()
            .flatten()
            .copied()
            .collect(),
        service: value(matches, "service"),
        requests: value(matches, "requests"),
        rate_per_second: value(matches, "rate"),
        work: Duration::from_millis(value(matches, "work-ms")),
        timeout: Duration::from_millis(value(matches, "timeout-ms")),
    });
    print!("{report}");
    if report.broken_promises > 0 {
        return Err(CommandError::Failed(format!(
            "{} wrong answers",
            report.broken_promises
        )));
    }
    Ok(())
}
