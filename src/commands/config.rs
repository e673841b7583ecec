//! `config`: lists and sets fleet-wide defaults and shows the state of the configuration.

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use super::administration::{AdminClient, ChangeCall, encode, with_change, with_connection};
use super::table::{block, table};
use super::{CommandError, Subcommand};
use crate::options::arguments::value;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("config")
        .about("List and set fleet-wide defaults; show which version each data centre applies")
        .after_help(
            "Examples:\n  jujubewinch config list\n  \
             jujubewinch config set retry.budget_percent 20 --reason 'spring orders'\n  \
             jujubewinch config status --output json",
        )
        .subcommand_required(true)
        .subcommand(with_connection(
            Command::new("list").about("List the policy figures with their defaults"),
        ))
        .subcommand(with_change(
            Command::new("set")
                .about("Set a fleet-wide default")
                .arg(
                    Arg::new("figure")
                        .required(true)
                        .help("Name of the policy figure"),
                )
                .arg(
                    Arg::new("value")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("New value"),
                ),
        ))
        .subcommand(with_connection(
            Command::new("status").about("Show each data centre's applied version and its age"),
        ))
        .subcommand(with_connection(
            Command::new("change")
                .about("Print the outcome of an earlier change")
                .arg(Arg::new("change").required(true).help("Id of the change")),
        ))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches),
        Some(("set", matches)) => set(matches),
        Some(("status", matches)) => status(matches),
        Some(("change", matches)) => change(matches),
        _ => Err(CommandError::Usage("no subcommand of config".to_owned())),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let body = admin.get("/v1/defaults", &[])?;
    admin.print(&body, |body| {
        table(
            &body["defaults"],
            &[
                ("FIGURE", "/figure"),
                ("VALUE", "/value"),
                ("UNIT", "/unit"),
                ("BUILT IN", "/built_in"),
                ("MIN", "/min"),
                ("MAX", "/max"),
                ("SET BY", "/set_by/author"),
                ("REASON", "/set_by/reason"),
            ],
        )
    })
}

fn set(matches: &ArgMatches) -> Result<(), CommandError> {
    let figure = value::<String>(matches, "figure");
    let call = ChangeCall {
        method: Method::PUT,
        path: format!("/v1/defaults/{}", encode(&figure)),
        fields: json!({ "value": value::<u64>(matches, "value") }),
    };
    AdminClient::new(matches)?.change(matches, call)
}

fn status(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let body = admin.get("/v1/configuration/status", &[])?;
    admin.print(&body, |body| {
        let hosts = table(
            &body["applied"],
            &[
                ("DATA CENTRE", "/data_centre"),
                ("HOST", "/host"),
                ("VERSION", "/version"),
                ("BEHIND", "/behind"),
                ("APPLIED SINCE", "/applied_age_ms"),
                ("REPORTED BEFORE", "/reported_age_ms"),
            ],
        );
        format!(
            "version {} on {}\n{}{hosts}",
            body["version"],
            body["host"],
            block(body.get("log"))
        )
    })
}

fn change(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let path = format!(
        "/v1/changes/{}",
        encode(&value::<String>(matches, "change"))
    );
    let body = admin.get(&path, &[])?;
    admin.print(&body, |body| block(Some(body)))
}
