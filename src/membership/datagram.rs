//! Encodes and authenticates membership datagrams, and rejects replayed ones.

use std::io::{self, ErrorKind};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::table::Update;
use crate::ids::{HostId, Incarnation};
use crate::peer::frame::{decode, encode};
use crate::peer::keys::{CODE_BYTES, ClusterKeys, code, codes_match};

/// Largest datagram; below the usual path MTU, so that datagrams are not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Largest incarnation in a datagram. Incarnations begin with a time in milliseconds and grow by
/// one with each refutation; a host can only refute an update that leaves room for a larger one.
pub const MAX_INCARNATION: Incarnation = Incarnation::MAX / 2;
/// Sequence numbers, counted back from the highest received, that are still accepted out of order.
const REORDER_WINDOW: u64 = 64;

/// Content of a datagram.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests an [`Message::Ack`] with the same probe number.
    Ping {
        /// Number of the probe, unique in the sender's process.
        probe: u64,
    },
    /// Requests that the receiver ping the target and report the result.
    PingThrough {
        /// Number of the probe, repeated in the report.
        probe: u64,
        /// Host to ping.
        target: HostId,
    },
    /// Answers a ping, or reports that the target answered the relay.
    Ack {
        /// Number of the probe that is answered.
        probe: u64,
    },
    /// Reports that the target did not answer the relay.
    Nack {
        /// Number of the probe that is answered.
        probe: u64,
    },
}

/// Content of a datagram without its authentication code.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Identifier of the sending host.
    pub from: HostId,
    /// Incarnation of the sender, which grows with each refutation; never decreases within a process.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each datagram of the process.
    pub sequence: u64,
    /// Identifier of the cluster key that authenticates the datagram.
    pub key_id: u32,
    /// Probe or answer.
    pub message: Message,
    /// Piggybacked updates about hosts.
    pub updates: Vec<Update>,
}

/// Encodes a datagram and appends its authentication code.
///
/// # Errors
///
/// `InvalidData` when the result is larger than [`MAX_DATAGRAM_BYTES`].
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

/// Decodes a datagram and verifies its authentication code.
///
/// # Errors
///
/// `InvalidData` for a malformed datagram or an incarnation above [`MAX_INCARNATION`],
/// `PermissionDenied` for one that is not authentic.
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
    let updated = datagram.updates.iter().map(|update| update.incarnation);
    let mut incarnations = updated.chain([datagram.incarnation]);
    if incarnations.any(|incarnation| incarnation > MAX_INCARNATION) {
        return Err(io::Error::new(
            ErrorKind::InvalidData,
            "an incarnation is too large",
        ));
    }
    Ok(datagram)
}

/// Datagrams received from one sender, as a sliding window over their sequence numbers.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    incarnation: Incarnation,
    /// Highest sequence number received.
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    window: u64,
}

/// Detects datagrams that were received before.
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    senders: IndexMap<HostId, Received>,
}

impl ReplayFilter {
    /// Records the datagram and returns whether it is new. Datagrams of an earlier incarnation or
    /// before the window count as old.
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
