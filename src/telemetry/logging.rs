//! Log output by `fern`, as text or as one line of JSON per event.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::SystemTime;

use log::kv::{Key, Value, VisitSource};

use crate::options::settings::LoggingSettings;

/// Starts logging to standard error; later calls have no effect.
pub fn start(settings: &LoggingSettings) {
    let level = settings.level.parse().unwrap_or(log::LevelFilter::Info);
    let json = settings.json;
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("ureq", log::LevelFilter::Warn)
        .level_for("ureq_proto", log::LevelFilter::Warn)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let fields = fields(record);
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
        .chain(fern::Output::call(|record| {
            // One write per event keeps lines of several processes apart in a shared log.
            let line = format!("{}\n", record.args());
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        }));
    // A second start, for example in tests, keeps the first logger.
    let _ = dispatch.apply();
}

fn fields(record: &log::Record<'_>) -> BTreeMap<String, String> {
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
