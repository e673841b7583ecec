//! `serve`: runs an entry host.

use std::path::{Path, PathBuf};

use clap::{ArgMatches, Command};

use super::signals::Signals;
use super::{CommandError, SIGNAL_CHECK_INTERVAL, Subcommand};
use crate::entry_host::EntryHost;
use crate::options::Settings;
use crate::options::arguments::{settings_argument, value};
use crate::telemetry::logging;

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
    let signals = Signals::register()
        .map_err(|error| CommandError::Failed(format!("cannot handle signals: {error}")))?;
    let host = EntryHost::start(settings.clone())
        .map_err(|error| CommandError::Failed(format!("cannot start the entry host: {error}")))?;
    log::info!(
        "serving callers on {}, operators on {}, peers on {}",
        host.caller_address(),
        host.admin_address(),
        host.peer_address()
    );
    while !signals.terminated() {
        if signals.take_reload() {
            reload(&path, &settings);
        }
        std::thread::sleep(SIGNAL_CHECK_INTERVAL);
    }
    log::info!("draining");
    if host.shutdown() {
        Ok(())
    } else {
        Err(CommandError::Failed(
            "requests were in flight at the end of the drain timeout".to_owned(),
        ))
    }
}

/// Applies the log level of the settings file and logs which other sections changed; these take
/// effect at the next start. An invalid file has no effect.
fn reload(path: &Path, current: &Settings) {
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("the settings stay as they were: {error}");
            return;
        }
    };
    logging::set_level(&settings.logging.level);
    let sections = changed_sections(current, &settings);
    log::info!(level = settings.logging.level.as_str(); "settings reloaded");
    if !sections.is_empty() {
        log::warn!(
            "changes of {} take effect at the next start",
            sections.join(", ")
        );
    }
}

/// Returns the names of the sections that differ, except `logging`.
fn changed_sections(current: &Settings, next: &Settings) -> Vec<String> {
    let sections = |settings: &Settings| match toml::Value::try_from(settings) {
        Ok(toml::Value::Table(table)) => table,
        _ => toml::Table::new(),
    };
    let (current, next) = (sections(current), sections(next));
    let names = next.iter().filter(|(name, value)| {
        name.as_str() != "logging" && current.get(name.as_str()) != Some(*value)
    });
    names.map(|(name, _)| name.clone()).collect()
}
