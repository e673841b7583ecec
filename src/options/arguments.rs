//! Command line of the binary, and arguments that several subcommands share.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;

/// Version of the program, with the digest of the sources from which it was built.
pub const VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (sources ",
    env!("JUJUBEWINCH_SOURCES"),
    ")"
);

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  the operation failed; standard error says why
  2  wrong arguments or settings
  3  a request did not run, or a change was not accepted
  4  a request may have run, or a change may have been accepted";

/// Builds the command line of the binary.
pub fn command() -> Command {
    Command::new("jujubewinch")
        .version(VERSION)
        .about("A cluster scheduler for unlike workloads: requests, batch, services and gangs")
        .help_template(help_template())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .global(true)
                .help("Lowest level of log events: error, warn, info, debug or trace"),
        )
        .arg(
            Arg::new("log-json")
                .long("log-json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Write each log event as one line of JSON"),
        )
        .subcommands(commands::all().iter().map(|command| (command.arguments)()))
}

/// Builds a help template that lists the subcommands in groups, which `clap` does not support.
fn help_template() -> String {
    let mut text = String::from("{about}\n\n{usage-heading} {usage}\n");
    for (heading, subcommands) in commands::groups() {
        text.push_str(&format!("\n{heading}:\n"));
        for subcommand in subcommands {
            let command = (subcommand.arguments)();
            let about = command.get_about().cloned().unwrap_or_default();
            text.push_str(&format!("  {:<10} {about}\n", command.get_name()));
        }
    }
    text.push_str("\n`jujubewinch help COMMAND` explains a command.\n");
    format!("{text}\nOptions:\n{{options}}\n\n{EXIT_CODES}\n")
}

/// Returns the required option `--settings`, the path of a settings file.
pub fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Settings file of the entry host, in TOML")
}

/// Returns the option `--entry`, the caller address of an entry host.
pub fn entry_argument() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:7101")
        .value_parser(value_parser!(std::net::SocketAddr))
        .help("Caller address of an entry host")
}

/// Returns the value of an option that is required or has a default.
///
/// # Panics
///
/// Panics when the option is not defined with type `T`, which is a programming error.
pub fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("option {name} has no value"))
}
