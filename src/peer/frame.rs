//! Content and encoding of frames.

use std::io::{self, ErrorKind, Read};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::keys::Code;
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Largest frame; bounds the memory that a peer can make the receiver allocate.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Largest frame of the handshake, which is read before the peer is authenticated.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Random bytes that each end contributes to a handshake.
pub const NONCE_BYTES: usize = 16;
/// Bytes of the length field.
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
    /// Host that opened the connection.
    pub host: String,
    /// Random bytes of the opening end.
    pub nonce: [u8; NONCE_BYTES],
    /// Cluster key of the connection.
    pub key_id: u32,
    /// Proves knowledge of the key.
    pub proof: Code,
}

/// Third frame, sent by the accepting end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerProof {
    /// Proves knowledge of the key.
    pub proof: Code,
}

/// Content of a frame after the handshake.
#[allow(clippy::large_enum_variant)] // Frames live only on the stack of one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A call.
    Request {
        /// Matches the reply to the call.
        call_id: u64,
        /// The request.
        request: PeerRequest,
    },
    /// The reply to a call.
    Reply {
        /// Identifier of the call.
        call_id: u64,
        /// The reply.
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

/// Decodes a value and refuses trailing bytes.
///
/// # Errors
///
/// `InvalidData` for malformed bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(invalid)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(invalid("trailing bytes"))
    }
}

/// Length field and body of a frame.
///
/// # Errors
///
/// `InvalidData` when the body exceeds [`MAX_FRAME_BYTES`].
pub fn with_length(body: &[u8]) -> io::Result<Vec<u8>> {
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

/// Reads the body of a frame of at most `limit` bytes. Memory grows with the bytes that arrive,
/// not with the announced length.
///
/// # Errors
///
/// The error of the reader, `InvalidData` above the limit, `UnexpectedEof` for a cut-off frame.
pub fn read_body(reader: &mut impl Read, limit: usize) -> io::Result<Vec<u8>> {
    let mut length = [0_u8; LENGTH_BYTES];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        return Err(invalid(format!("frame of {length} bytes exceeds {limit}")));
    }
    let mut body = Vec::new();
    reader.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(io::Error::new(
            ErrorKind::UnexpectedEof,
            "the frame was cut off",
        ));
    }
    Ok(body)
}

/// An error for malformed input.
pub fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error.to_string())
}
