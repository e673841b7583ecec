//! Settings of the cluster keys, with which entry hosts authenticate each other.

use serde::{Deserialize, Serialize};

use crate::peer::keys::{ClusterKey, ClusterKeys};

/// Authentication between entry hosts.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SecuritySettings {
    /// Cluster keys; the first key authenticates sent messages, and all keys are accepted in
    /// received messages.
    pub cluster_keys: Vec<ClusterKeySettings>,
}

/// A secret that all entry hosts share.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterKeySettings {
    /// Number of the key, which is the same on all hosts.
    pub id: u32,
    /// Secret of at least 16 bytes, in hexadecimal digits.
    #[serde(skip_serializing)]
    pub secret_hex: String,
}

impl SecuritySettings {
    /// Returns the decoded keys; without keys, entry hosts do not authenticate each other.
    pub fn keys(&self) -> ClusterKeys {
        let mut keys = self.cluster_keys.iter().map(|key| ClusterKey {
            id: key.id,
            secret: decode_hex(&key.secret_hex).unwrap_or_default(),
        });
        match keys.next() {
            Some(current) => ClusterKeys::new(current, keys.collect()),
            None => ClusterKeys::unauthenticated(),
        }
    }
}

/// Decodes an even number of hexadecimal digits; returns `None` for any other text.
pub fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|digit| digit.to_digit(16)).collect();
    let digits = digits.filter(|digits| digits.len().is_multiple_of(2))?;
    Some(
        digits
            .chunks(2)
            .map(|pair| (pair[0] * 16 + pair[1]) as u8)
            .collect(),
    )
}
