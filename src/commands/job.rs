//! `job`: submits, queries and cancels jobs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use super::request::{print_response, read_payload, send};
use super::{CommandError, Subcommand};
use crate::http::client::ClientRequest;
use crate::options::arguments::{entry_argument, value};
use crate::protocol::headers;

/// Timeout of one call; a submission is answered after its commit.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("job")
        .about("Submit, query and cancel jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(submit_arguments())
        .subcommand(id_command("status", "Print the state of a job"))
        .subcommand(id_command("cancel", "Cancel a job and stop its tasks"))
}

fn submit_arguments() -> Command {
    Command::new("submit")
        .about("Submit a job and print its state")
        .after_help(
            "Example:\n  jujubewinch job submit --kind batch --tasks 4 --cpu-millis 1000 \
             --memory-mib 512 --data @task.json",
        )
        .arg(entry_argument())
        .arg(
            Arg::new("kind")
                .long("kind")
                .required(true)
                .value_parser(["batch", "service", "gang"])
                .help("Workload kind"),
        )
        .arg(Arg::new("id").long("id").help("Idempotency key"))
        .arg(
            Arg::new("member")
                .long("member")
                .help("Member, where authentication is off"),
        )
        .arg(number("tasks", "1").help("Tasks of the job"))
        .arg(number("cpu-millis", "1000").help("Millicores of each task"))
        .arg(number("memory-mib", "512").help("Memory of each task"))
        .arg(number("accelerators", "0").help("Accelerators of each task"))
        .arg(
            Arg::new("expected-run-ms")
                .long("expected-run-ms")
                .value_parser(value_parser!(u64))
                .help("Expected run time of a task"),
        )
        .arg(
            Arg::new("urgency")
                .long("urgency")
                .default_value("normal")
                .value_parser(["low", "normal", "high", "urgent"])
                .help("Order within the member"),
        )
        .arg(
            Arg::new("at-most-once")
                .long("at-most-once")
                .action(ArgAction::SetTrue)
                .help("Never start a task a second time"),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .default_value("")
                .help("Payload of each task; @FILE reads a file and @- standard input"),
        )
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
}

fn id_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(entry_argument())
        .arg(Arg::new("id").required(true).help("Identifier of the job"))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("submit", matches)) => run_submit(matches),
        Some(("status", matches)) => run_by_id(matches, Method::GET),
        Some(("cancel", matches)) => run_by_id(matches, Method::DELETE),
        _ => Err(CommandError::Usage("no subcommand of job".to_owned())),
    }
}

fn run_submit(matches: &ArgMatches) -> Result<(), CommandError> {
    let entry: SocketAddr = value(matches, "entry");
    let payload = String::from_utf8(read_payload(&value::<String>(matches, "data"))?)
        .map_err(|_| CommandError::Usage("the payload of a job must be UTF-8".to_owned()))?;
    let body = json!({
        "id": matches.get_one::<String>("id"),
        "kind": value::<String>(matches, "kind"),
        "tasks": value::<u32>(matches, "tasks"),
        "resources": {
            "cpu_millis": value::<u32>(matches, "cpu-millis"),
            "memory_mib": value::<u32>(matches, "memory-mib"),
            "accelerators": value::<u32>(matches, "accelerators"),
        },
        "expected_run_ms": matches.get_one::<u64>("expected-run-ms"),
        "urgency": value::<String>(matches, "urgency"),
        "at_most_once": matches.get_flag("at-most-once"),
        "payload": payload,
    });
    let url = format!("http://{entry}/v1/jobs");
    let mut request = ClientRequest::new(Method::POST, url, Instant::now() + CALL_TIMEOUT);
    if let Some(member) = matches.get_one::<String>("member") {
        request = request.header(headers::MEMBER, member);
    }
    request.body = body.to_string().into_bytes();
    print_response(send(request)?)
}

fn run_by_id(matches: &ArgMatches, method: Method) -> Result<(), CommandError> {
    let entry: SocketAddr = value(matches, "entry");
    let id: String = value(matches, "id");
    let url = format!("http://{entry}/v1/jobs/{id}");
    let request = ClientRequest::new(method, url, Instant::now() + CALL_TIMEOUT);
    print_response(send(request)?)
}
