//! `replica`: lists and changes the hosts that keep the configuration log.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use serde_json::json;

use super::administration::{
    AdminClient, encode, with_author, with_connection, with_reason, write_output,
};
use super::table::table;
use super::{CommandError, Subcommand};
use crate::admin::replicas::{ReplicaOutcome, ReplicaReply};
use crate::options::arguments::value;
use crate::verdict::{ErrorCode, RequestError};

/// Timeout of one operation; longer than the host needs for a replacement.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(75);

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("replica")
        .about("List and change the hosts that keep the configuration log")
        .after_help(
            "Examples:\n  jujubewinch replica list\n  \
             jujubewinch replica replace entry-3 entry-9 --reason 'disk of entry-3 failed'",
        )
        .subcommand_required(true)
        .subcommand(with_connection(Command::new("list").about(
            "List the entry hosts with their role in the log, version and state",
        )))
        .subcommand(operation(
            "add",
            "Let an entry host of the settings receive the log",
        ))
        .subcommand(operation("promote", "Make a learner a voter"))
        .subcommand(operation("remove", "End the membership of a host"))
        .subcommand(
            operation(
                "replace",
                "Add and promote another host, then remove this one",
            )
            .arg(
                Arg::new("new")
                    .required(true)
                    .help("Entry host that takes the place"),
            ),
        )
}

fn operation(name: &'static str, about: &'static str) -> Command {
    let command = Command::new(name)
        .about(about)
        .arg(Arg::new("host").required(true).help("Entry host"));
    with_author(with_reason(with_connection(command)))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches),
        Some((name, matches)) => operate(name, matches),
        None => Err(CommandError::Usage("no subcommand of replica".to_owned())),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let body = admin.get("/v1/replicas", &[])?;
    admin.print(&body, |body| {
        table(
            &body["replicas"],
            &[
                ("HOST", "/host"),
                ("DATA CENTRE", "/data_centre"),
                ("ROLE", "/role"),
                ("INCARNATION", "/incarnation"),
                ("PHASE", "/phase"),
                ("ON DISK", "/on_disk"),
                ("VERSION", "/version"),
                ("BEHIND", "/behind"),
                ("REPORTED BEFORE", "/reported_age_ms"),
                ("LIVENESS", "/liveness"),
                ("FAULT", "/fault"),
            ],
        )
    })
}

fn operate(name: &str, matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let host = encode(&value::<String>(matches, "host"));
    let mut body = json!({ "reason": value::<String>(matches, "reason") });
    if let Some(author) = admin.author(matches) {
        body["author"] = json!(author);
    }
    if name == "replace" {
        body["new"] = json!(value::<String>(matches, "new"));
    }
    let path = format!("/v1/replicas/{host}/{name}");
    let reply: ReplicaReply = admin.operate(&path, &body, OPERATION_TIMEOUT)?;
    if admin.json {
        write_output(&format!("{:#}\n", json!(reply)))?;
    } else {
        print_steps(&reply)?;
    }
    check_outcome(reply)
}

fn print_steps(reply: &ReplicaReply) -> Result<(), CommandError> {
    for step in &reply.done {
        write_output(&format!("done: {step}\n"))?;
    }
    Ok(())
}

fn check_outcome(reply: ReplicaReply) -> Result<(), CommandError> {
    let message = reply.message.unwrap_or_default();
    match reply.outcome {
        ReplicaOutcome::Done => Ok(()),
        ReplicaOutcome::Refused => Err(CommandError::Refused(format!("refused: {message}"))),
        outcome @ (ReplicaOutcome::Stopped | ReplicaOutcome::Unknown) => {
            let steps = reply.done.len();
            let message = format!("{outcome} after {steps} steps: {message}");
            let error = RequestError::may_have_run(ErrorCode::Unavailable, message);
            Err(CommandError::Request(error))
        }
    }
}
