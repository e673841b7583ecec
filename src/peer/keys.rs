//! Cluster keys and the codes made with them.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a message authentication code on the wire.
pub const CODE_BYTES: usize = 16;

/// Message authentication code, truncated to 128 bits.
pub type Code = [u8; CODE_BYTES];

/// A shared secret of the cell with its number.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterKey {
    /// Number by which the other end finds the key.
    pub id: u32,
    /// Secret bytes.
    pub secret: Vec<u8>,
}

/// Keys that are valid now. During a rotation the old and the new key are both listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterKeys {
    /// Key for opened connections and sent datagrams.
    current: ClusterKey,
    /// Further keys accepted from others.
    accepted: Vec<ClusterKey>,
}

impl ClusterKeys {
    /// Keys for sending and accepting.
    pub fn new(current: ClusterKey, accepted: Vec<ClusterKey>) -> Self {
        Self { current, accepted }
    }

    /// The publicly known key of a cell without authentication; it only detects damage.
    pub fn unauthenticated() -> Self {
        Self::new(
            ClusterKey {
                id: 0,
                secret: b"unauthenticated".to_vec(),
            },
            Vec::new(),
        )
    }

    /// Key for sending.
    pub fn current(&self) -> &ClusterKey {
        &self.current
    }

    /// A valid key by its number.
    pub fn find(&self, id: u32) -> Option<&ClusterKey> {
        std::iter::once(&self.current)
            .chain(&self.accepted)
            .find(|key| key.id == id)
    }
}

/// HMAC-SHA256 over the parts, each preceded by its length.
pub fn authenticate(secret: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is valid");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

/// Truncated code over the parts.
pub fn code(secret: &[u8], parts: &[&[u8]]) -> Code {
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&authenticate(secret, parts)[..CODE_BYTES]);
    code
}

/// Compares codes in constant time.
pub fn codes_match(expected: &[u8], received: &[u8]) -> bool {
    expected.ct_eq(received).into()
}
