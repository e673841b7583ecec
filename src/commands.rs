//! Subcommands, one file each.

mod check;
mod dev;
mod load;
mod request;
mod runner;
mod serve;

use clap::{ArgMatches, Command};
use thiserror::Error;

use crate::verdict::{RequestError, Verdict};

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
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Exit code; the list is in the help text.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Request(error) if error.verdict == Verdict::DidNotRun => 3,
            Self::Request(error) if error.verdict == Verdict::MayHaveRun => 4,
            Self::Request(_) | Self::Failed(_) => 1,
        }
    }
}

/// All subcommands in the order of the help text.
pub fn all() -> Vec<Subcommand> {
    vec![
        serve::subcommand(),
        dev::subcommand(),
        check::subcommand(),
        request::submit(),
        request::status(),
        request::cancel(),
        runner::subcommand(),
        load::subcommand(),
    ]
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

/// Blocks until the process is asked to end by SIGTERM or SIGINT, or the deadline passes.
fn wait_for_termination(deadline: Option<std::time::Instant>) -> std::io::Result<()> {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicBool, Ordering};

    let terminated = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&terminated))?;
    }
    while !terminated.load(Ordering::Acquire) {
        if deadline.is_some_and(|deadline| std::time::Instant::now() >= deadline) {
            return Ok(());
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    Ok(())
}
