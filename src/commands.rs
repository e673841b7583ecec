//! Subcommands, one file each.

mod administration;
mod audit;
mod check;
mod config;
mod dev;
mod drain;
mod exception;
mod fleet;
mod job;
mod load;
mod replica;
mod request;
mod runner;
mod serve;
pub mod signals;
mod table;
mod team;
mod token;

use clap::{ArgMatches, Command};
use thiserror::Error;

use crate::verdict::{RequestError, Verdict};

/// Interval in which a service looks at its signals.
const SIGNAL_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// A subcommand: its arguments and what it does.
pub struct Subcommand {
    /// Definition for the command line; its name selects the subcommand.
    pub arguments: fn() -> Command,
    /// Runs the subcommand.
    pub run: fn(&ArgMatches) -> Result<(), CommandError>,
}

/// A failed subcommand.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Wrong arguments or settings.
    #[error("{0}")]
    Usage(String),
    /// A request failed.
    #[error("{0}")]
    Request(#[from] RequestError),
    /// The administration interface did not accept a call.
    #[error("{0}")]
    Refused(String),
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Exit code; the list is in the help text.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Refused(_) => 3,
            Self::Request(error) if error.verdict == Verdict::DidNotRun => 3,
            Self::Request(error) if error.verdict == Verdict::MayHaveRun => 4,
            Self::Request(_) | Self::Failed(_) => 1,
        }
    }
}

/// All subcommands by group, in the order of the help text.
pub fn groups() -> Vec<(&'static str, Vec<Subcommand>)> {
    vec![
        (
            "Running the scheduler",
            vec![
                serve::subcommand(),
                dev::subcommand(),
                check::subcommand(),
                crate::platform::command::subcommand(),
            ],
        ),
        (
            "Requests",
            vec![request::submit(), request::status(), request::cancel()],
        ),
        ("Jobs", vec![job::subcommand()]),
        (
            "Administration",
            vec![
                config::subcommand(),
                exception::subcommand(),
                team::subcommand(),
                token::subcommand(),
                drain::drain(),
                drain::undrain(),
                audit::subcommand(),
                fleet::subcommand(),
                replica::subcommand(),
            ],
        ),
        (
            "Tests and trials",
            vec![runner::subcommand(), load::subcommand()],
        ),
    ]
}

/// All subcommands.
pub fn all() -> Vec<Subcommand> {
    let groups = groups().into_iter();
    groups.flat_map(|(_, commands)| commands).collect()
}

/// Runs the subcommand that was chosen on the command line.
///
/// # Errors
///
/// The error of the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(CommandError::Usage("no subcommand".to_owned()));
    };
    let chosen = all()
        .into_iter()
        .find(|command| (command.arguments)().get_name() == name);
    let Some(chosen) = chosen else {
        return Err(CommandError::Usage(format!("unknown subcommand {name}")));
    };
    (chosen.run)(matches)
}

/// Whether the chosen subcommand is a service whose output is its log.
pub fn logs_to_standard_output(matches: &ArgMatches) -> bool {
    matches.subcommand_name() == Some(crate::platform::command::NAME)
}

/// Blocks until the process is asked to end by SIGTERM or SIGINT, or the deadline passes.
fn wait_for_termination(deadline: Option<std::time::Instant>) -> std::io::Result<()> {
    let signals = signals::Signals::register()?;
    while !signals.terminated() {
        if deadline.is_some_and(|deadline| std::time::Instant::now() >= deadline) {
            return Ok(());
        }
        std::thread::sleep(SIGNAL_CHECK_INTERVAL);
    }
    Ok(())
}
