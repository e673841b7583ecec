//! `runner`: runs a stand-in runner for tests and trials.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::administration::token_from_environment;
use super::{CommandError, Subcommand};
use crate::agent::{Agent, AgentOptions};
use crate::options::arguments::value;
use crate::protocol::worker::RunnerCapacity;
use crate::resources::Resources;

/// Time in which tasks may finish after the runner starts to leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let text = |name: &'static str| Arg::new(name).long(name).required(true);
    Command::new("runner")
        .about("Run a stand-in runner that announces itself and executes requests")
        .after_help(
            "Example:\n  jujubewinch runner --id w1 --data-centre erdenet --rack r1 \
             --service wheel-orders --entry 127.0.0.1:7101\n\n\
             Where authentication is on, JUJUBEWINCH_TOKEN holds a token with the role announce.",
        )
        .arg(text("id").help("Identifier of the worker"))
        .arg(text("data-centre").help("Data centre of the worker"))
        .arg(text("rack").help("Rack of the worker"))
        .arg(
            Arg::new("service")
                .long("service")
                .help("Service whose requests it executes; without it, only tasks of jobs"),
        )
        .arg(
            Arg::new("address")
                .long("address")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Address on which it listens"),
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Caller address of an entry host; may be repeated"),
        )
        .arg(number("slots", "8").help("Requests executed at once"))
        .arg(number("connections", "64").help("Connections accepted at once"))
        .arg(number("cores", "16").help("Processors of the worker"))
        .arg(number("memory-mib", "32768").help("Memory of the worker"))
        .arg(number("accelerators", "0").help("Accelerators of the worker"))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let entry_hosts = matches
        .get_many::<SocketAddr>("entry")
        .into_iter()
        .flatten()
        .copied();
    let options = AgentOptions {
        worker: value(matches, "id"),
        data_centre: value(matches, "data-centre"),
        rack: value(matches, "rack"),
        address: value(matches, "address"),
        entry_hosts: entry_hosts.collect(),
        resources: Resources {
            cpu_millis: u64::from(value::<u32>(matches, "cores")) * 1000,
            memory_mib: u64::from(value::<u32>(matches, "memory-mib")),
            accelerators: u64::from(value::<u32>(matches, "accelerators")),
        },
        runner: matches
            .get_one::<String>("service")
            .map(|service| RunnerCapacity {
                service: service.clone(),
                slots: value(matches, "slots"),
                connections: value(matches, "connections"),
            }),
    };
    let agent = Agent::start_with_token(options, token_from_environment())
        .map_err(|error| CommandError::Failed(format!("cannot start the runner: {error}")))?;
    log::info!("runner listens on {}", agent.address());
    super::wait_for_termination(None)
        .map_err(|error| CommandError::Failed(format!("cannot handle signals: {error}")))?;
    agent.leave(Instant::now() + LEAVE_TIMEOUT);
    Ok(())
}
