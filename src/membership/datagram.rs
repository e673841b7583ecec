//! Encoding, authentication and replay protection of datagrams.

use std::io::{self, ErrorKind};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::table::Update;
use crate::ids::{HostId, Incarnation};
use crate::peer::frame::{decode, encode};
use crate::peer::keys::{CODE_BYTES, ClusterKeys, code, codes_match};

/// Largest datagram; below the usual path limit, so that it is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Datagrams that may overtake a later one and still be accepted.
const REORDER_WINDOW: u64 = 64;

/// Content of a datagram.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`] with the same number.
    Ping {
        /// Number of the probe.
        probe: u64,
    },
    /// Asks the receiver to ping the target and to report.
    PingThrough {
        /// Number of the probe.
        probe: u64,
        /// Host to ping.
        target: HostId,
    },
    /// Answers a ping, or reports that the target answered the relay.
    Ack {
        /// Number of the probe.
        probe: u64,
    },
    /// Reports that the target did not answer the relay.
    Nack {
        /// Number of the probe.
        probe: u64,
    },
}

/// A datagram before its code.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender.
    pub from: HostId,
    /// Start number of the sender's process.
    pub incarnation: Incarnation,
    /// Grows with each datagram of the process.
    pub sequence: u64,
    /// Number of the cluster key.
    pub key_id: u32,
    /// Content.
    pub message: Message,
    /// News about hosts.
    pub updates: Vec<Update>,
}

/// Encodes a datagram and adds its code.
///
/// # Errors
///
/// `InvalidData` when it is too large.
pub fn seal(datagram: &Datagram, keys: &ClusterKeys) -> io::Result<Vec<u8>> {
    let mut bytes = encode(datagram)?;
    let code = code(&keys.current().secret, &[&bytes]);
    bytes.extend_from_slice(&code);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(io::Error::new(
            ErrorKind::InvalidData,
            "the datagram is too large",
        ));
    }
    Ok(bytes)
}

/// Decodes a datagram and verifies its code.
///
/// # Errors
///
/// `InvalidData` or `PermissionDenied`.
pub fn open(bytes: &[u8], keys: &ClusterKeys) -> io::Result<Datagram> {
    let Some((content, received)) = bytes.split_last_chunk::<CODE_BYTES>() else {
        return Err(io::Error::new(
            ErrorKind::InvalidData,
            "the datagram is too short",
        ));
    };
    let datagram: Datagram = decode(content)?;
    let key = keys.find(datagram.key_id);
    let authentic = key.is_some_and(|key| codes_match(&code(&key.secret, &[content]), received));
    if !authentic {
        return Err(io::Error::new(
            ErrorKind::PermissionDenied,
            "the datagram is not authentic",
        ));
    }
    Ok(datagram)
}

/// Datagrams received from one sender.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` tells whether `highest - n` was received.
    window: u64,
}

/// Recognises datagrams that were received before.
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    senders: IndexMap<HostId, Received>,
}

impl ReplayFilter {
    /// Tells whether the datagram is new, and remembers it.
    pub fn accept(&mut self, datagram: &Datagram) -> bool {
        let received = self.senders.entry(datagram.from.clone()).or_default();
        if datagram.incarnation < received.incarnation {
            return false;
        }
        if datagram.incarnation > received.incarnation || received.window == 0 {
            *received = Received {
                incarnation: datagram.incarnation,
                highest: datagram.sequence,
                window: 1,
            };
            return true;
        }
        if datagram.sequence > received.highest {
            let shift = datagram.sequence - received.highest;
            received.window = if shift < REORDER_WINDOW {
                received.window << shift
            } else {
                0
            } | 1;
            received.highest = datagram.sequence;
            return true;
        }
        let age = received.highest - datagram.sequence;
        if age >= REORDER_WINDOW || received.window & (1 << age) != 0 {
            return false;
        }
        received.window |= 1 << age;
        true
    }
}
