//! Cluster keys and message authentication codes.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a message authentication code on the wire.
pub const CODE_BYTES: usize = 16;

/// Message authentication code: HMAC-SHA256, truncated to 128 bits.
pub type Code = [u8; CODE_BYTES];

/// A secret that all hosts of the cell share.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterKey {
    /// Number that identifies the key to the other end.
    pub id: u32,
    /// Key of the HMAC.
    pub secret: Vec<u8>,
}

/// Cluster keys that are valid now. During a rotation these are both the old and the new key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterKeys {
    /// Key for connections that this host opens and datagrams that it sends.
    current: ClusterKey,
    /// Additional keys that this host accepts from other hosts.
    accepted: Vec<ClusterKey>,
}

impl ClusterKeys {
    /// Creates keys from the key for sending and the additional keys for accepting.
    pub fn new(current: ClusterKey, accepted: Vec<ClusterKey>) -> Self {
        Self { current, accepted }
    }

    /// Returns the publicly known key of a cell without authentication, with which codes only detect
    /// damage.
    pub fn unauthenticated() -> Self {
        Self::new(
            ClusterKey {
                id: 0,
                secret: b"unauthenticated".to_vec(),
            },
            Vec::new(),
        )
    }

    /// Returns the key for sending.
    pub fn current(&self) -> &ClusterKey {
        &self.current
    }

    /// Returns the valid key with the number.
    pub fn find(&self, id: u32) -> Option<&ClusterKey> {
        std::iter::once(&self.current)
            .chain(&self.accepted)
            .find(|key| key.id == id)
    }
}

/// Computes the HMAC-SHA256 of the parts, each preceded by its length so that the boundaries between
/// parts are authenticated too.
pub fn hmac_sha256(secret: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is valid");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

/// Computes the truncated message authentication code of the parts.
pub fn code(secret: &[u8], parts: &[&[u8]]) -> Code {
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&hmac_sha256(secret, parts)[..CODE_BYTES]);
    code
}

/// Compares message authentication codes in constant time.
pub fn codes_match(expected: &[u8], received: &[u8]) -> bool {
    expected.ct_eq(received).into()
}
