//! Subcommands of the program, one module each.

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

/// Interval at which a service polls for received signals.
const SIGNAL_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// A subcommand: its arguments and its entry point.
pub struct Subcommand {
    /// Definition for the command line; its name selects the subcommand.
    pub arguments: fn() -> Command,
    /// Executes the subcommand with the arguments that were parsed for it.
    pub run: fn(&ArgMatches) -> Result<(), CommandError>,
}

/// Failure of a subcommand; [`CommandError::exit_code`] maps it to an exit code.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The arguments or settings are invalid.
    #[error("{0}")]
    Usage(String),
    /// A request failed; its verdict says whether it may have run.
    #[error("{0}")]
    Request(#[from] RequestError),
    /// The administration interface rejected a call.
    #[error("{0}")]
    Refused(String),
    /// Any other failure, for example an I/O error or an invalid response.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Exit code of the process; the help text lists all codes.
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

/// Returns all subcommands by group, in the order of the help text.
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

/// Returns the subcommands of all groups.
pub fn all() -> Vec<Subcommand> {
    let groups = groups().into_iter();
    groups.flat_map(|(_, commands)| commands).collect()
}

/// Runs the subcommand that was selected on the command line.
///
/// # Errors
///
/// Returns the error of the subcommand, or [`CommandError::Usage`] if none was selected.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(CommandError::Usage("no subcommand".to_owned()));
    };
    let selected = all()
        .into_iter()
        .find(|command| (command.arguments)().get_name() == name);
    let Some(selected) = selected else {
        return Err(CommandError::Usage(format!("unknown subcommand {name}")));
    };
    (selected.run)(matches)
}

/// Whether the selected subcommand is a service that writes its log to standard output.
pub fn logs_to_standard_output(matches: &ArgMatches) -> bool {
    matches.subcommand_name() == Some(crate::platform::command::NAME)
}

/// Blocks until SIGTERM or SIGINT arrives or the deadline passes; without a deadline, waits for a
/// signal only.
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
