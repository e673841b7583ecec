//! Metrics of storage failures.

use std::sync::OnceLock;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use super::storage::StorageError;
use crate::telemetry::metrics::metrics;

struct Instruments {
    storage_failures: Counter<u64>,
    storage_unusable: Gauge<u64>,
}

fn instruments() -> &'static Instruments {
    static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();
    INSTRUMENTS.get_or_init(|| {
        let meter = &metrics().meter;
        Instruments {
            storage_failures: meter
                .u64_counter("jujubewinch_replica_storage_failures")
                .build(),
            storage_unusable: meter
                .u64_gauge("jujubewinch_replica_storage_unusable")
                .build(),
        }
    })
}

/// Counts a storage failure of a group by its cause.
pub(super) fn count_storage_failure(group: &str, error: &StorageError) {
    let labels = [group_label(group), KeyValue::new("cause", error.cause())];
    instruments().storage_failures.add(1, &labels);
}

/// Records whether the storage of a group is unusable after a failure, as 1 or 0.
pub(super) fn record_storage_unusable(group: &str, unusable: bool) {
    let labels = [group_label(group)];
    instruments()
        .storage_unusable
        .record(u64::from(unusable), &labels);
}

fn group_label(group: &str) -> KeyValue {
    KeyValue::new("group", group.to_owned())
}
