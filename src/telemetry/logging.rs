//! Log output through `fern`, as text or as one line of JSON per event.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel::{Receiver, Sender, bounded};
use log::kv::{Key, Value, VisitSource};

use crate::options::settings::LoggingSettings;

/// Maximum number of lines that wait for the writer; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of lines per write: 4,000 lines a second, twice the peak rate of a host.
const MAX_LINES_PER_WRITE: usize = 200;
/// Maximum time for writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts logging to standard error; later calls only set the level.
pub fn start(settings: &LoggingSettings) {
    // A single write per event keeps the lines of several processes apart in a shared log.
    install_logger(settings, |line| {
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    });
}

/// Starts logging to standard output from a separate thread, so that logging never blocks and its
/// volume is bounded. A separate line reports the number of dropped lines.
pub fn start_queued(settings: &LoggingSettings) {
    let (sender, receiver) = bounded(MAX_QUEUED_LINES);
    let writer = thread::Builder::new().name("log-writer".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(&receiver)) {
        eprintln!("cannot start the log writer: {error}");
    }
    let _ = QUEUE.set(sender.clone());
    install_logger(settings, move |line| {
        if sender.try_send(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
}

static QUEUE: OnceLock<Sender<String>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Waits until the queued lines are written, for little more than `FLUSH_TIMEOUT` at most. Called
/// before the process ends.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let is_empty = || QUEUE.get().is_none_or(Sender::is_empty);
    while !is_empty() && Instant::now() < deadline {
        thread::sleep(WRITE_INTERVAL / 4);
    }
    // The writer may still be writing the lines that it removed from the queue last.
    if QUEUE.get().is_some() {
        thread::sleep(WRITE_INTERVAL / 4);
    }
}

fn write_lines(lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        for line in lines.try_iter().take(MAX_LINES_PER_WRITE - 1) {
            text.push_str(&line);
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = serde_json::json!({"level": "WARN", "message": "log lines dropped",
                "fields": {"lines": dropped.to_string()}});
            text.push_str(&format!("{line}\n"));
        }
        // A write error is ignored, since there is no other output to which it could be reported.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
        thread::sleep(WRITE_INTERVAL);
    }
}

fn install_logger(settings: &LoggingSettings, write: impl Fn(String) + Send + Sync + 'static) {
    let json = settings.json;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Trace)
        .level_for("ureq", log::LevelFilter::Warn)
        .level_for("ureq_proto", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let fields = collect_fields(record);
            if json {
                let line = serde_json::json!({
                    "time": time.to_string(),
                    "level": record.level().as_str(),
                    "target": record.target(),
                    "message": message.to_string(),
                    "fields": fields,
                });
                out.finish(format_args!("{line}"));
                return;
            }
            let mut suffix = String::new();
            for (name, value) in &fields {
                suffix.push_str(&format!(" {name}={value}"));
            }
            out.finish(format_args!(
                "{time} {:<5} {}: {message}{suffix}",
                record.level(),
                record.target()
            ));
        })
        .chain(fern::Output::call(move |record| {
            write(format!("{}\n", record.args()));
        }));
    // Later starts, for example in tests, keep the first logger.
    let _ = dispatch.apply();
    set_level(&settings.level);
}

/// Sets the lowest level of events that are written; an unknown level counts as `info`.
pub fn set_level(level: &str) {
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}

fn collect_fields(record: &log::Record<'_>) -> BTreeMap<String, String> {
    struct Collector(BTreeMap<String, String>);
    impl<'kvs> VisitSource<'kvs> for Collector {
        fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
            self.0.insert(key.to_string(), value.to_string());
            Ok(())
        }
    }
    let mut collector = Collector(BTreeMap::new());
    let _ = record.key_values().visit(&mut collector);
    collector.0
}
