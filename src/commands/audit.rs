//! `audit`: lists and verifies the trail of accepted configuration changes.

use std::time::SystemTime;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::administration::{AdminClient, with_connection};
use super::table::table;
use super::{CommandError, Subcommand};
use crate::configuration::change::CHANGE_KINDS;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let time = |name: &'static str, help: &'static str| {
        let parse = |text: &str| humantime::parse_rfc3339_weak(text);
        let argument = Arg::new(name).long(name).value_name("TIME");
        argument.value_parser(parse).help(help)
    };
    let list = Command::new("list")
        .about("List accepted changes, oldest first")
        .arg(
            Arg::new("author")
                .long("author")
                .help("Only changes of this author"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(CHANGE_KINDS)
                .help("Only changes of this kind"),
        )
        .arg(time(
            "since",
            "From this time on, for example 2026-12-04T08:00:00Z",
        ))
        .arg(time("until", "Up to this time"))
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u32))
                .help("Only the latest ones; 1000 by default, 5000 at most"),
        );
    Command::new("audit")
        .about("List the audit trail and verify its chain")
        .after_help(
            "Examples:\n  jujubewinch audit list --author saran --since 2026-12-01T00:00:00Z\n  \
             jujubewinch audit verify",
        )
        .subcommand_required(true)
        .subcommand(with_connection(list))
        .subcommand(with_connection(
            Command::new("verify").about("Check that no entry was edited or removed"),
        ))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches),
        Some(("verify", matches)) => verify(matches),
        _ => Err(CommandError::Usage("no subcommand of audit".to_owned())),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let text = |name| matches.get_one::<String>(name).cloned();
    let time = |name| {
        let time = matches.get_one::<SystemTime>(name)?;
        let since_epoch = time
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Some(since_epoch.as_millis().to_string())
    };
    let query = [
        ("author", text("author")),
        ("kind", text("kind")),
        ("since_unix_ms", time("since")),
        ("until_unix_ms", time("until")),
        (
            "limit",
            matches.get_one::<u32>("limit").map(ToString::to_string),
        ),
    ];
    let body = admin.get("/v1/audit", &query)?;
    admin.print(&body, |body| {
        table(
            &body["entries"],
            &[
                ("VERSION", "/version"),
                ("TIME", "/at_unix_ms"),
                ("AUTHOR", "/author"),
                ("KIND", "/kind"),
                ("SUBJECT", "/subject"),
                ("REASON", "/reason"),
            ],
        )
    })
}

fn verify(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let body = admin.get("/v1/audit/verify", &[])?;
    if body["intact"] != true {
        let fault = body["fault"].as_str().unwrap_or_default();
        return Err(CommandError::Failed(format!(
            "the audit trail of this host is broken: {fault}; compare it with other hosts"
        )));
    }
    admin.print(&body, |body| {
        format!("intact: {} entries\n", body["entries"])
    })
}
