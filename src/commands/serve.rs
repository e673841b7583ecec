//! `serve`: runs an entry host.

use std::path::PathBuf;

use clap::{ArgMatches, Command};

use super::{CommandError, Subcommand};
use crate::entry_host::EntryHost;
use crate::options::Settings;
use crate::options::arguments::{settings_argument, value};

pub(super) fn subcommand() -> Subcommand {
    Subcommand { arguments, run }
}

fn arguments() -> Command {
    Command::new("serve")
        .about("Run an entry host until SIGTERM, then drain")
        .after_help("Example:\n  jujubewinch serve --settings erdenet-1.toml")
        .arg(settings_argument())
}

fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let path: PathBuf = value(matches, "settings");
    let settings = Settings::load(&path).map_err(|error| CommandError::Usage(error.to_string()))?;
    let host = EntryHost::start(settings)
        .map_err(|error| CommandError::Failed(format!("cannot start the entry host: {error}")))?;
    log::info!(
        "serving callers on {}, operators on {}, peers on {}",
        host.caller_address(),
        host.admin_address(),
        host.peer_address()
    );
    super::wait_for_termination(None)
        .map_err(|error| CommandError::Failed(format!("cannot handle signals: {error}")))?;
    log::info!("draining");
    if host.shutdown() {
        Ok(())
    } else {
        Err(CommandError::Failed(
            "requests were in flight at the end of the drain timeout".to_owned(),
        ))
    }
}
