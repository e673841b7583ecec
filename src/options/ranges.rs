//! Allowed ranges of the numbers in the settings of an entry host.

use super::settings::Settings;
use crate::http::body_budget::BodyLimits;

/// Maximum duration, one week; larger values could overflow a deadline.
const MAX_DURATION_MS: u64 = 7 * 24 * 60 * 60 * 1_000;
/// Maximum amount of memory that a setting may reserve.
const MAX_BYTES: u64 = 64 * 1024 * 1024 * 1024;

/// Returns the dotted key and the reason of the first number that is out of its range.
pub(super) fn first_fault(settings: &Settings) -> Option<(&'static str, String)> {
    let (limits, timing) = (&settings.limits, &settings.timing);
    let ranges = [
        (
            "limits.max_caller_connections",
            limits.max_caller_connections as u64,
            1,
            100_000,
        ),
        (
            "limits.max_payload_bytes",
            limits.max_payload_bytes as u64,
            1,
            64 * 1024 * 1024,
        ),
        (
            "limits.max_header_bytes",
            limits.max_header_bytes as u64,
            1_024,
            1024 * 1024,
        ),
        (
            "limits.max_queued_requests",
            limits.max_queued_requests as u64,
            1,
            10_000_000,
        ),
        (
            "limits.max_answer_bytes",
            limits.max_answer_bytes as u64,
            1,
            MAX_BYTES,
        ),
    ];
    let durations = [
        (
            "timing.default_request_timeout_ms",
            timing.default_request_timeout_ms,
            1,
        ),
        (
            "timing.max_request_timeout_ms",
            timing.max_request_timeout_ms,
            1,
        ),
        ("timing.key_retention_ms", timing.key_retention_ms, 1),
        ("timing.exchange_wait_ms", timing.exchange_wait_ms, 1),
        ("timing.exchange_grace_ms", timing.exchange_grace_ms, 0),
        (
            "timing.announcement_interval_ms",
            timing.announcement_interval_ms,
            1,
        ),
        ("timing.lease_ms", timing.lease_ms, 1),
        ("timing.clock_margin_ms", timing.clock_margin_ms, 0),
        ("timing.drain_delay_ms", timing.drain_delay_ms, 0),
        ("timing.drain_timeout_ms", timing.drain_timeout_ms, 0),
    ];
    let durations = durations.map(|(key, value, min)| (key, value, min, MAX_DURATION_MS));
    for (key, value, min, max) in ranges.into_iter().chain(durations) {
        if !(min..=max).contains(&value) {
            return Some((key, format!("must be from {min} to {max}")));
        }
    }
    None
}

/// Returns the dotted key and the reason of the first limit of held bodies that is out of its range.
/// A body of `largest_body` bytes has to fit, since it would be refused for ever otherwise.
pub(crate) fn body_fault(
    limits: &BodyLimits,
    largest_body: usize,
) -> Option<(&'static str, String)> {
    let (total, address) = (limits.max_total_bytes, limits.max_address_bytes);
    let stall_ms = limits.stall_timeout.as_millis() as u64;
    let ranges = [
        (
            "limits.max_address_body_bytes",
            address as u64,
            largest_body as u64,
            MAX_BYTES,
        ),
        (
            "limits.max_held_body_bytes",
            total as u64,
            address as u64,
            MAX_BYTES,
        ),
        ("limits.body_stall_timeout_ms", stall_ms, 1, MAX_DURATION_MS),
        (
            "limits.min_body_bytes_per_second",
            limits.min_bytes_per_second as u64,
            1,
            MAX_BYTES,
        ),
    ];
    for (key, value, min, max) in ranges {
        if !(min..=max).contains(&value) {
            return Some((key, format!("must be from {min} to {max}")));
        }
    }
    None
}
