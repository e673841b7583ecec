//! SHA-256 digests, which all encodings represent as hexadecimal text.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// A SHA-256 digest; its text has 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Sha256Digest(pub [u8; 32]);

/// The text is not a digest in the canonical form.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("not a SHA-256 digest of 64 lower-case hexadecimal digits")]
pub struct InvalidDigest;

impl Sha256Digest {
    /// Computes the digest of the bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Sha256Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Sha256Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

impl FromStr for Sha256Digest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        // Upper-case digits are rejected so that each digest has exactly one text.
        let is_lower_hex = |digit: u8| matches!(digit, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 64 || !text.bytes().all(is_lower_hex) {
            return Err(InvalidDigest);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for Sha256Digest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        text.parse()
    }
}

impl From<Sha256Digest> for String {
    fn from(digest: Sha256Digest) -> Self {
        digest.to_string()
    }
}
