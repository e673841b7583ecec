//! `token`: manages the credentials of operators, callers and runners.

use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde_json::json;

use super::administration::{
    AdminClient, ChangeCall, encode, with_change, with_connection, write_output,
};
use super::table::table;
use super::{CommandError, Subcommand};
use crate::configuration::digest::Sha256Digest;
use crate::options::arguments::value;

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    let name = || Arg::new("token").required(true).help("Name of the token");
    Command::new("token")
        .about("List, create and revoke tokens")
        .after_help(
            "Examples:\n  jujubewinch token create tuul-desk --role submit --member tuul \
             --reason 'new ordering desk'\n  \
             jujubewinch token revoke tuul-desk --reason 'the desk has closed'\n\n\
             create prints the secret once; entry hosts keep its SHA-256 only.",
        )
        .subcommand_required(true)
        .subcommand(with_connection(Command::new("list").about("List tokens")))
        .subcommand(with_change(
            Command::new("create")
                .about("Create a token and print its secret once")
                .arg(name())
                .arg(
                    Arg::new("role")
                        .long("role")
                        .required(true)
                        .value_parser(["read", "submit", "operate", "announce"])
                        .help("What the holder may do; announce is for runners and workers"),
                )
                .arg(
                    Arg::new("member")
                        .long("member")
                        .required_if_eq("role", "submit")
                        .help("Member on whose behalf the holder acts"),
                ),
        ))
        .subcommand(
            Command::new("generate").about(
                "Print a new secret and its SHA-256 without asking a host, for the settings",
            ),
        )
        .subcommand(with_change(
            Command::new("revoke").about("Revoke a token").arg(name()),
        ))
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("list", matches)) => list(matches),
        Some(("create", matches)) => create(matches),
        Some(("generate", _)) => generate(),
        Some(("revoke", matches)) => revoke(matches),
        _ => Err(CommandError::Usage("no subcommand of token".to_owned())),
    }
}

fn list(matches: &ArgMatches) -> Result<(), CommandError> {
    let admin = AdminClient::new(matches)?;
    let body = admin.get("/v1/tokens", &[])?;
    admin.print(&body, |body| {
        table(
            &body["tokens"],
            &[
                ("TOKEN", "/token"),
                ("ROLE", "/role"),
                ("MEMBER", "/member"),
                ("ADDED", "/origin/at_unix_ms"),
                ("AUTHOR", "/origin/author"),
                ("REASON", "/origin/reason"),
            ],
        )
    })
}

fn create(matches: &ArgMatches) -> Result<(), CommandError> {
    if matches.get_one::<String>("change-id").is_some() {
        // The secret of the first attempt was not stored, so its hash cannot be sent again.
        return Err(CommandError::Usage(
            "a token cannot be created again with --change-id; revoke it and create another"
                .to_owned(),
        ));
    }
    let admin = AdminClient::new(matches)?;
    let secret = new_secret();
    let call = ChangeCall {
        method: Method::POST,
        path: "/v1/tokens".to_owned(),
        fields: json!({
            "token": value::<String>(matches, "token"),
            "role": value::<String>(matches, "role"),
            "member": matches.get_one::<String>("member"),
            "sha256": Sha256Digest::of(secret.as_bytes()),
        }),
    };
    let reply = admin.submit_change(matches, call)?;
    if matches.get_flag("dry-run") {
        return admin.print_reply(&reply);
    }
    if admin.json {
        let mut output = json!(reply);
        output["secret"] = json!(secret);
        return write_output(&format!("{output:#}\n"));
    }
    admin.print_reply(&reply)?;
    write_output(&format!("secret, shown only now:\n{secret}\n"))
}

fn generate() -> Result<(), CommandError> {
    let secret = new_secret();
    let digest = Sha256Digest::of(secret.as_bytes());
    write_output(&format!("secret: {secret}\nsha256: {digest}\n"))
}

/// Returns a new secret of 256 random bits from the generator that the operating system seeds.
fn new_secret() -> String {
    format!(
        "jjw_{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    )
}

fn revoke(matches: &ArgMatches) -> Result<(), CommandError> {
    let token = encode(&value::<String>(matches, "token"));
    let call = ChangeCall {
        method: Method::POST,
        path: format!("/v1/tokens/{token}/revoke"),
        fields: json!({}),
    };
    AdminClient::new(matches)?.change(matches, call)
}
