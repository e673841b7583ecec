//! Frames of the peer protocol and their encoding.

use std::io::{self, ErrorKind, Read};
use std::time::Instant;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::keys::Code;
use crate::http::body_budget::{Refusal, Reservation, record_refusal};
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Largest body of a frame. It limits the memory that a peer can make the receiver allocate.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Largest body of a handshake frame, which is read before the peer is authenticated.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Size of the segments into which a frame with reserved memory is received.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Random bytes that each end contributes to a handshake.
pub const NONCE_BYTES: usize = 16;
/// Position of [`Frame::Request`] among the variants, which precedes its fields on the wire.
const REQUEST_VARIANT: u32 = 0;
/// Size of the length field, a big-endian integer before the body.
pub const LENGTH_BYTES: usize = 4;

/// First frame, sent by the accepting end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerHello {
    /// Random bytes of the accepting end.
    pub nonce: [u8; NONCE_BYTES],
}

/// Second frame, sent by the opening end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientHello {
    /// Identifier of the host that opened the connection.
    pub host: String,
    /// Random bytes of the opening end.
    pub nonce: [u8; NONCE_BYTES],
    /// Number of the cluster key that the connection uses.
    pub key_id: u32,
    /// Proof that the opening end knows the key.
    pub proof: Code,
}

/// Third frame, sent by the accepting end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerProof {
    /// Proof that the accepting end knows the key.
    pub proof: Code,
}

/// A frame after the handshake.
#[allow(clippy::large_enum_variant)] // Frames live only on the stack of one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A call.
    Request {
        /// Identifier of the call, unique on the connection.
        call_id: u64,
        /// Operation that the caller requests.
        request: PeerRequest,
    },
    /// The reply to a call.
    Reply {
        /// Identifier of the call that is answered.
        call_id: u64,
        /// Result of the call.
        reply: PeerReply,
    },
    /// Asks the other end for a [`Frame::Pong`].
    Ping,
    /// Shows that the connection works in both directions.
    Pong,
}

/// Encodes a value with `postcard`.
///
/// # Errors
///
/// `InvalidData` when the value cannot be encoded.
pub fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(invalid)
}

/// Decodes a value and rejects trailing bytes.
///
/// # Errors
///
/// `InvalidData` for malformed or trailing bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(invalid)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(invalid("trailing bytes"))
    }
}

/// Returns the call identifier of a request whose operation cannot be decoded, such as one of a
/// later version; `None` if the bytes do not begin like a request.
pub fn call_id_of_request(bytes: &[u8]) -> Option<u64> {
    let (variant, rest) = postcard::take_from_bytes::<u32>(bytes).ok()?;
    if variant != REQUEST_VARIANT {
        return None;
    }
    let (call_id, _) = postcard::take_from_bytes(rest).ok()?;
    Some(call_id)
}

/// Returns the length field followed by the body of a frame.
///
/// # Errors
///
/// `InvalidData` when the body exceeds [`MAX_FRAME_BYTES`].
pub fn length_prefixed(body: &[u8]) -> io::Result<Vec<u8>> {
    if body.len() > MAX_FRAME_BYTES {
        let length = body.len();
        return Err(invalid(format!(
            "frame of {length} bytes exceeds {MAX_FRAME_BYTES}"
        )));
    }
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Reads the body of a frame of at most `limit` bytes. Memory is allocated for the bytes that
/// arrive, not for the announced length.
///
/// # Errors
///
/// The error of the reader, `InvalidData` above the limit, or `UnexpectedEof` for a truncated
/// frame.
pub fn read_body(reader: &mut impl Read, limit: usize) -> io::Result<Vec<u8>> {
    let length = read_length(reader, limit)?;
    let mut body = Vec::new();
    reader.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(cut_off());
    }
    Ok(body)
}

/// Reads the length field of a frame, which may announce at most `limit` bytes.
///
/// # Errors
///
/// The error of the reader, or `InvalidData` above the limit.
pub fn read_length(reader: &mut impl Read, limit: usize) -> io::Result<usize> {
    let mut length = [0_u8; LENGTH_BYTES];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        return Err(invalid(format!("frame of {length} bytes exceeds {limit}")));
    }
    Ok(length)
}

/// Reads `length` bytes, with memory reserved before they arrive. They are received into segments of
/// one size, since buffers that grow leave gaps in the heap that exceed the reservations.
///
/// # Errors
///
/// The error of the reader, `OutOfMemory` without room for the frame, `TimedOut` when it arrives too
/// slowly, or `UnexpectedEof` for a truncated frame.
pub fn read_reserved(
    reader: &mut impl Read,
    length: usize,
    reservation: &mut Reservation,
) -> io::Result<Vec<u8>> {
    let no_room = |refusal| refused(ErrorKind::OutOfMemory, refusal);
    let mut segments: Vec<Vec<u8>> = Vec::new();
    let mut received = 0;
    let mut deadline = reservation.progress(0);
    while received < length {
        let size = SEGMENT_BYTES.min(length - received);
        reservation.grow_to(received + size).map_err(no_room)?;
        let mut segment = vec![0; size];
        let mut filled = 0;
        while filled < size {
            filled += match reader.read(&mut segment[filled..]) {
                Ok(0) => return Err(cut_off()),
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            if Instant::now() >= deadline {
                return Err(refused(ErrorKind::TimedOut, Refusal::Timeout));
            }
            deadline = reservation.progress(received + filled);
        }
        received += size;
        segments.push(segment);
    }
    reservation.complete().map_err(no_room)?;
    // Each segment is freed once it is copied.
    let mut body = Vec::with_capacity(length);
    for segment in segments {
        body.extend_from_slice(&segment);
    }
    Ok(body)
}

fn cut_off() -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, "the frame was cut off")
}

/// Counts a refused frame and returns its error. A frame that was closed to make room was counted
/// when it was closed.
fn refused(kind: ErrorKind, refusal: Refusal) -> io::Error {
    if refusal != Refusal::Evicted {
        record_refusal(refusal);
    }
    io::Error::new(kind, format!("the frame was refused: {refusal:?}"))
}

/// Returns an `InvalidData` error with the given text.
pub fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error.to_string())
}
