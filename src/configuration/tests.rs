//! Tests of the private parts of the audit trail.

use super::audit::{AuditEntry, AuditFault, AuditTrail};
use super::change::Change;
use super::digest::Sha256Digest;

fn entry(version: u64) -> AuditEntry {
    AuditEntry {
        version,
        change_id: format!("c{version}"),
        author: "saran".to_owned(),
        at_unix_ms: version,
        reason: "test".to_owned(),
        change: Change::RevokeToken {
            token: "t".to_owned(),
        },
        before: None,
        after: None,
        predecessor: Sha256Digest::default(),
    }
}

/// Guards against a chain that cannot be verified after old entries were dropped.
#[test]
fn trail_verifies_after_old_entries_are_dropped() {
    let mut trail = AuditTrail::default();
    for version in 1..=10 {
        trail.append(entry(version), 4);
    }
    assert_eq!(trail.verify(), Ok(4));
    assert_eq!(trail.entry(6), None);
    assert_eq!(trail.entry(7).map(|entry| entry.version), Some(7));
    assert_eq!(trail.entry(11), None);
    let decoded = AuditTrail::decode(&trail.encode()).expect("the trail is complete");
    assert_eq!(decoded, trail);
}

/// Guards against a missing entry that the verification does not detect.
#[test]
fn missing_entry_is_reported_as_gap() {
    let mut trail = AuditTrail::default();
    trail.append(entry(1), 10);
    trail.append(entry(3), 10);
    let expected = AuditFault::Gap {
        expected: 2,
        found: 3,
    };
    assert_eq!(trail.verify(), Err(expected));
}
