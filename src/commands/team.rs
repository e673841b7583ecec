//! `team`: lists, sets and removes teams, which are members with a weight and a quota.

use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde_json::json;

use super::administration::{AdminClient, ChangeCall, encode, with_change, with_connection};
use super::table::table;
use super::{CommandError, Subcommand};
use crate::options::arguments::value;

/// Limits of a quota: option, field of the message and help text.
const QUOTA: [(&str, &str, &str); 4] = [
    ("cpu-millis", "cpu_millis", "Thousandths of a core"),
    ("memory-mib", "memory_mib", "MiB of memory"),
    ("accelerators", "accelerators", "Whole accelerators"),
    (
        "request-slots",
        "request_slots",
        "Requests executing at once",
    ),
];

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let member = || {
        Arg::new("member")
            .required(true)
            .help("Member that the team is")
    };
    let mut set = Command::new("set")
        .about("Add a team or replace its weight and quota; absent bounds do not limit it")
        .arg(member())
        .arg(number::<u32>("weight", "Share relative to other members").required(true));
    for (option, _, help) in QUOTA {
        set = set.arg(number::<u64>(option, help));
    }
    Command::new("team")
        .about("List, set and remove teams with their weights and quotas")
        .after_help(
            "Example:\n  jujubewinch team set tuul --weight 3 --request-slots 40 \
             --reason 'agreed shares of 2027'",
        )
        .subcommand_required(true)
        .subcommand(with_connection(Command::new("list").about("List teams")))
        .subcommand(with_change(set))
        .subcommand(with_change(
            Command::new("remove").about("Remove a team").arg(member()),
        ))
}

fn number<T>(name: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr<Err = std::num::ParseIntError> + Clone + Send + Sync + 'static,
{
    let parse = |text: &str| text.parse::<T>();
    Arg::new(name).long(name).help(help).value_parser(parse)
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches),
        Some(("set", matches)) => set(matches),
        Some(("remove", matches)) => remove(matches),
        _ => Err(CommandError::Usage("no subcommand of team".to_owned())),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let body = admin.get("/v1/teams", &[])?;
    admin.print(&body, |body| {
        table(
            &body["teams"],
            &[
                ("MEMBER", "/member"),
                ("WEIGHT", "/weight"),
                ("CPU MILLIS", "/quota/cpu_millis"),
                ("MEMORY MIB", "/quota/memory_mib"),
                ("ACCELERATORS", "/quota/accelerators"),
                ("REQUEST SLOTS", "/quota/request_slots"),
            ],
        )
    })
}

fn set(matches: &ArgMatches) -> Result<(), CommandError> {
    let mut quota = json!({});
    for (option, field, _) in QUOTA {
        quota[field] = json!(matches.get_one::<u64>(option));
    }
    let call = ChangeCall {
        method: Method::PUT,
        path: format!("/v1/teams/{}", encode(&value::<String>(matches, "member"))),
        fields: json!({ "weight": value::<u32>(matches, "weight"), "quota": quota }),
    };
    AdminClient::new(matches)?.change(matches, call)
}

fn remove(matches: &ArgMatches) -> Result<(), CommandError> {
    let member = encode(&value::<String>(matches, "member"));
    let call = ChangeCall {
        method: Method::POST,
        path: format!("/v1/teams/{member}/remove"),
        fields: json!({}),
    };
    AdminClient::new(matches)?.change(matches, call)
}
