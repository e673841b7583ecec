//! `drain` and `undrain`: take a worker or entry host out of service and return it to service.

use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use super::administration::{AdminClient, ChangeCall, encode, with_change};
use super::{CommandError, Subcommand};
use crate::configuration::scope::DrainTarget;
use crate::options::arguments::value;

pub(super) fn drain() -> Subcommand {
    Subcommand {
        arguments: || command("drain", "Take a worker or entry host out of use"),
        run: |matches| run(matches, Method::PUT, ""),
    }
}

pub(super) fn undrain() -> Subcommand {
    Subcommand {
        arguments: || command("undrain", "Use a drained worker or entry host again"),
        run: |matches| run(matches, Method::POST, "/undrain"),
    }
}

fn command(name: &'static str, about: &'static str) -> Command {
    let example = format!("Example:\n  jujubewinch {name} worker:w17 --reason 'new memory'");
    let command = Command::new(name).about(about).after_help(example).arg(
        Arg::new("target")
            .required(true)
            .value_parser(value_parser!(DrainTarget))
            .help("worker:WORKER or host:HOST"),
    );
    with_change(command)
}

fn run(matches: &ArgMatches, method: Method, action: &str) -> Result<(), CommandError> {
    let target = encode(&value::<DrainTarget>(matches, "target").to_string());
    let call = ChangeCall {
        method,
        path: format!("/v1/drains/{target}{action}"),
        fields: json!({}),
    };
    AdminClient::new(matches)?.change(matches, call)
}
