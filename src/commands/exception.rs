//! `exception`: manages exceptions to fleet-wide defaults.

use std::time::{Duration, SystemTime};

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use super::administration::{AdminClient, ChangeCall, encode, with_change, with_connection};
use super::table::{block, table};
use super::{CommandError, Subcommand};
use crate::configuration::scope::Scope;
use crate::options::arguments::value;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let id = || {
        Arg::new("exception")
            .required(true)
            .help("Identifier of the exception")
    };
    Command::new("exception")
        .about("List, add, end, challenge and explain exceptions to defaults")
        .after_help(
            "Examples:\n  jujubewinch exception add --figure request.max_queued_per_member \
             --scope member:tuul --value 500 --expires-in 2h --reason 'flood of restocks'\n  \
             jujubewinch exception challenge exception-7 --reason 'the flood is over'\n  \
             jujubewinch exception explain --figure request.max_queued_per_member --member tuul",
        )
        .subcommand_required(true)
        .subcommand(with_connection(
            Command::new("list")
                .about("List exceptions with author and reason")
                .arg(option("figure", "Only those to this policy figure"))
                .arg(option("scope", "Only those for this scope"))
                .arg(
                    option("state", "Only those in effect or those that have lapsed")
                        .value_parser(["in_effect", "lapsed"]),
                ),
        ))
        .subcommand(add_arguments())
        .subcommand(with_change(
            Command::new("expire").about("End an exception").arg(id()),
        ))
        .subcommand(with_change(
            Command::new("challenge")
                .about("Record an objection against an exception, which stays in effect")
                .arg(id()),
        ))
        .subcommand(with_connection(
            Command::new("explain")
                .about("Tell which default or exception decides a figure, its author and reason")
                .arg(option("figure", "Name of the policy figure").required(true))
                .arg(option("member", "Member"))
                .arg(option("caller", "Caller of the member").requires("member"))
                .arg(option("service", "Service"))
                .arg(option("worker", "Worker")),
        ))
}

fn add_arguments() -> Command {
    let duration = |text: &str| humantime::parse_duration(text).map_err(|error| error.to_string());
    let command = Command::new("add")
        .about("Add an exception")
        .arg(option("figure", "Name of the policy figure").required(true))
        .arg(
            option(
                "scope",
                "member:MEMBER, caller:MEMBER/CALLER, service:SERVICE or worker:WORKER",
            )
            .required(true)
            .value_parser(value_parser!(Scope)),
        )
        .arg(
            option("value", "Value in place of the default")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("expires-in", "Time until it ends, for example 2h or 3days")
                .value_parser(duration),
        );
    with_change(command)
}

fn option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches),
        Some(("add", matches)) => add(matches),
        Some((action @ ("expire" | "challenge"), matches)) => expire_or_challenge(action, matches),
        Some(("explain", matches)) => explain(matches),
        _ => Err(CommandError::Usage("no subcommand of exception".to_owned())),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let filter = |name: &'static str| (name, matches.get_one::<String>(name).cloned());
    let body = admin.get(
        "/v1/exceptions",
        &[filter("figure"), filter("scope"), filter("state")],
    )?;
    admin.print(&body, |body| {
        let mut list = body["exceptions"].clone();
        for item in list.as_array_mut().into_iter().flatten() {
            item["challenged"] = json!(item["challenges"].as_array().map_or(0, Vec::len));
        }
        table(
            &list,
            &[
                ("ID", "/id"),
                ("FIGURE", "/figure"),
                ("SCOPE", "/scope"),
                ("VALUE", "/value"),
                ("STATE", "/state"),
                ("EXPIRES", "/expires_at_unix_ms"),
                ("CHALLENGED", "/challenged"),
                ("AUTHOR", "/origin/author"),
                ("REASON", "/origin/reason"),
            ],
        )
    })
}

fn add(matches: &ArgMatches) -> Result<(), CommandError> {
    let expires_at_unix_ms = match matches.get_one::<Duration>("expires-in") {
        Some(remaining) => Some(unix_ms_from_now(*remaining)?),
        None => None,
    };
    let call = ChangeCall {
        method: Method::POST,
        path: "/v1/exceptions".to_owned(),
        fields: json!({
            "figure": value::<String>(matches, "figure"),
            "scope": value::<Scope>(matches, "scope"),
            "value": value::<u64>(matches, "value"),
            "expires_at_unix_ms": expires_at_unix_ms,
        }),
    };
    AdminClient::new(matches)?.change(matches, call)
}

fn unix_ms_from_now(remaining: Duration) -> Result<u64, CommandError> {
    let too_long = || CommandError::Usage("--expires-in is too long".to_owned());
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let expiry = since_epoch.checked_add(remaining).ok_or_else(too_long)?;
    u64::try_from(expiry.as_millis()).map_err(|_| too_long())
}

fn expire_or_challenge(action: &str, matches: &ArgMatches) -> Result<(), CommandError> {
    let exception = encode(&value::<String>(matches, "exception"));
    let call = ChangeCall {
        method: Method::POST,
        path: format!("/v1/exceptions/{exception}/{action}"),
        fields: json!({}),
    };
    AdminClient::new(matches)?.change(matches, call)
}

fn explain(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let parameter = |name: &'static str| (name, matches.get_one::<String>(name).cloned());
    let names = ["figure", "member", "caller", "service", "worker"];
    let body = admin.get("/v1/exceptions/explain", &names.map(parameter))?;
    admin.print(&body, |body| {
        let head = format!(
            "{} is {} (default {})\n",
            body["figure"].as_str().unwrap_or_default(),
            body["value"],
            body["default"]
        );
        let decided = &body["decided_by"];
        let cause = match decided["kind"].as_str() {
            Some("exception") => format!(
                "decided by an exception:\n{}",
                block(decided.get("exception"))
            ),
            Some("default") => format!("decided by the default:\n{}", block(decided.get("origin"))),
            _ => "built in; no operator set it\n".to_owned(),
        };
        head + &cause
    })
}
