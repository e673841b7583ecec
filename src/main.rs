//! Entry point of the `jujubewinch` binary.

use std::process::ExitCode;

use dlmalloc::GlobalDlmalloc;
use jujubewinch::commands;
use jujubewinch::options::arguments;
use jujubewinch::options::settings::LoggingSettings;
use jujubewinch::telemetry::logging;

/// Allocator with one heap for all threads, which returns freed memory to the system. The allocator of
/// the C library keeps a heap for each of many threads, and a host has more than a hundred threads.
#[global_allocator]
static ALLOCATOR: GlobalDlmalloc = GlobalDlmalloc;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let mut settings = LoggingSettings::default();
    if let Some(level) = matches.get_one::<String>("log-level") {
        settings.level.clone_from(level);
    }
    settings.json = matches.get_flag("log-json");
    if commands::logs_to_standard_output(&matches) {
        logging::start_queued(&settings);
    } else {
        logging::start(&settings);
    }
    let result = commands::run(&matches);
    logging::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
