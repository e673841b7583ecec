//! Idempotency keys: format, home data centre and validity by age.

use sha2::{Digest, Sha256};

use super::PlacerOptions;
use crate::protocol::caller::Submission;
use crate::verdict::{ErrorCode, RequestError};

/// Maximum length of a key.
pub const MAX_KEY_BYTES: usize = 200;
/// Maximum time by which a key's issue time may be ahead of this host's clock.
pub(super) const MAX_FUTURE_SECONDS: u64 = 60;

/// Parts of a key of the form `<data centre>.<Unix seconds>.<text>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StructuredKey {
    /// Data centre whose placer holds the record of the key.
    pub data_centre: String,
    /// Time at which the caller issued the key, by the caller's clock.
    pub issued_unix_seconds: u64,
}

impl StructuredKey {
    /// Parses a key. Returns `None` unless it has the structured form and its first part is one of
    /// the data centres.
    pub fn parse(key: &str, data_centres: &[String]) -> Option<Self> {
        let (data_centre, rest) = key.split_once('.')?;
        let (issued, text) = rest.split_once('.')?;
        if text.is_empty() || !data_centres.iter().any(|name| name == data_centre) {
            return None;
        }
        let issued_unix_seconds = issued.parse().ok()?;
        Some(Self {
            data_centre: data_centre.to_owned(),
            issued_unix_seconds,
        })
    }
}

/// Returns the home data centre of a key: its first part if the key is structured, otherwise the
/// result of rendezvous hashing.
pub fn home_data_centre(key: &str, data_centres: &[String]) -> String {
    if let Some(structured) = StructuredKey::parse(key, data_centres) {
        return structured.data_centre;
    }
    let weight = |name: &String| {
        let mut hasher = Sha256::new();
        hasher.update(name.as_bytes());
        hasher.update([0]);
        hasher.update(key.as_bytes());
        <[u8; 32]>::from(hasher.finalize())
    };
    data_centres
        .iter()
        .max_by_key(|name| weight(name))
        .cloned()
        .unwrap_or_default()
}

/// Returns the issue time of a structured key, without a check of its data centre.
pub fn issued_unix_seconds(key: &str) -> Option<u64> {
    let (_, rest) = key.split_once('.')?;
    let (issued, _) = rest.split_once('.')?;
    issued.parse().ok()
}

/// Range of issue times for which a key without a record is accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyWindow {
    /// Wall-clock time in Unix seconds, but never earlier than the latest record, so that setting
    /// the clock back does not make a key valid again whose record was dropped.
    pub now_seconds: u64,
    /// Issue time in Unix seconds before which keys are refused.
    pub floor_seconds: u64,
}

/// Refuses a key without a record if the record may have been dropped or the issue time is too far
/// in the future.
pub(super) fn check_age(
    submission: &Submission,
    options: &PlacerOptions,
    window: KeyWindow,
) -> Result<(), RequestError> {
    let home = [options.data_centre.clone()];
    let Some(key) = StructuredKey::parse(&submission.key, &home) else {
        return Ok(());
    };
    let issued = key.issued_unix_seconds;
    if issued > window.now_seconds + MAX_FUTURE_SECONDS {
        let message = format!("the key was issued more than {MAX_FUTURE_SECONDS} s in the future");
        return Err(RequestError::did_not_run(ErrorCode::BadRequest, message));
    }
    let retention_seconds = options.timing.key_retention_ms / 1000;
    if issued.saturating_add(retention_seconds) < window.now_seconds
        || issued < window.floor_seconds
    {
        let message = format!(
            "the key is older than the records or their retention of {retention_seconds} s"
        );
        return Err(RequestError::may_have_run(ErrorCode::KeyExpired, message));
    }
    Ok(())
}

/// Returns the time until which the record of a key that completes now is kept. A key may be issued
/// up to a minute ahead of this clock and stays valid for the retention counted from its issue, so
/// the record must be kept until both have passed.
pub(super) fn keep_until_unix_ms(key: &str, now_unix_ms: u64, retention_ms: u64) -> u64 {
    let issued_ms =
        issued_unix_seconds(key).map_or(0, |issued| issued.saturating_add(1).saturating_mul(1000));
    let latest_issue_ms = now_unix_ms + (MAX_FUTURE_SECONDS + 1) * 1000;
    // The age of a key is checked in whole seconds, so one second is added.
    now_unix_ms.max(issued_ms.min(latest_issue_ms)) + retention_ms + 1000
}
