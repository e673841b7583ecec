//! Idempotency keys: form, home data centre and age.

use sha2::{Digest, Sha256};

use super::PlacerOptions;
use crate::protocol::caller::Submission;
use crate::verdict::{ErrorCode, RequestError};

/// Longest key.
pub const MAX_KEY_BYTES: usize = 200;
/// How far ahead of this host's clock a key's issue time may be.
pub(super) const MAX_FUTURE_SECONDS: u64 = 60;

/// Parts of a key of the form `<data centre>.<Unix seconds>.<text>`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StructuredKey {
    /// Home data centre.
    pub data_centre: String,
    /// When the caller issued the key.
    pub issued_unix_seconds: u64,
}

impl StructuredKey {
    /// Splits a key whose first part is one of the data centres.
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

/// Home data centre of a key: its first part, or by rendezvous hashing for free text.
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

/// Issue time of any key of the structured form, whatever its data centre.
pub fn issued_unix_seconds(key: &str) -> Option<u64> {
    let (_, rest) = key.split_once('.')?;
    let (issued, _) = rest.split_once('.')?;
    issued.parse().ok()
}

/// What the age of a key is measured against.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeyWindow {
    /// Wall-clock time in Unix seconds; at least that of the latest record, so that a clock that
    /// is set back makes no key valid whose record was dropped.
    pub now_seconds: u64,
    /// Keys issued earlier are refused.
    pub floor_seconds: u64,
}

/// Refuses a key without a record whose record may have been dropped, or that is from the future.
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
        let message = format!("the key is older than the retention of {retention_seconds} s");
        return Err(RequestError::may_have_run(ErrorCode::KeyExpired, message));
    }
    Ok(())
}

/// When the record of a key that completes now may be dropped. A key may be issued up to a minute
/// ahead of this clock and stays valid for the retention counted from its issue, so the record
/// must outlive both.
pub(super) fn keep_until_unix_ms(key: &str, now_unix_ms: u64, retention_ms: u64) -> u64 {
    let issued_ms =
        issued_unix_seconds(key).map_or(0, |issued| issued.saturating_add(1).saturating_mul(1000));
    let latest_issue_ms = now_unix_ms + (MAX_FUTURE_SECONDS + 1) * 1000;
    // The window of a key is checked in whole seconds, hence the added second.
    now_unix_ms.max(issued_ms.min(latest_issue_ms)) + retention_ms + 1000
}
