//! `undrain`: uses a worker or entry host again.

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use super::administration::{AdminClient, ChangeCall, encode, with_change};
use super::{CommandError, Subcommand};
use crate::configuration::scope::DrainTarget;
use crate::options::arguments::value;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let command = Command::new("undrain")
        .about("Use a drained worker or entry host again")
        .after_help("Example:\n  jujubewinch undrain worker:w17 --reason 'new memory'")
        .arg(
            Arg::new("target")
                .required(true)
                .value_parser(value_parser!(DrainTarget))
                .help("worker:WORKER or host:HOST"),
        );
    with_change(command)
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let target = encode(&value::<DrainTarget>(matches, "target").to_string());
    let call = ChangeCall {
        method: Method::POST,
        path: format!("/v1/drains/{target}/undrain"),
        fields: json!({}),
    };
    AdminClient::new(matches)?.change(matches, call)
}
