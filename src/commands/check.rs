//! `check`: validates a settings file.

use std::path::PathBuf;

use clap::{ArgMatches, Command};

use super::{CommandError, Subcommand};
use crate::options::Settings;
use crate::options::arguments::{settings_argument, value};

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("check")
        .about("Validate a settings file and print the effective settings")
        .after_help("Example:\n  jujubewinch check --settings erdenet-1.toml")
        .arg(settings_argument())
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let path: PathBuf = value(matches, "settings");
    let settings = Settings::load(&path).map_err(|error| CommandError::Usage(error.to_string()))?;
    let text = toml::to_string_pretty(&settings)
        .map_err(|error| CommandError::Failed(format!("cannot print the settings: {error}")))?;
    println!("{text}");
    Ok(())
}
