//! Length-prefixed `postcard` frames.

use std::io::{self, ErrorKind, Read, Write};

use serde::{Deserialize, Serialize};

use crate::protocol::peer::{PeerReply, PeerRequest};

/// Largest frame; bounds the memory that a peer can make the receiver allocate.
pub const MAX_FRAME_BYTES: u32 = 16 * 1024 * 1024;

/// Content of one frame.
#[allow(clippy::large_enum_variant)] // Frames live only on the stack of one call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of a connection.
    Hello {
        /// Host that opened the connection.
        host: String,
    },
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

/// Writes one frame.
///
/// # Errors
///
/// The error of the writer, or `InvalidData` when the frame exceeds [`MAX_FRAME_BYTES`].
pub fn write_frame(writer: &mut impl Write, frame: &Frame) -> io::Result<usize> {
    let body = postcard::to_stdvec(frame).map_err(invalid)?;
    let length = u32::try_from(body.len()).map_err(invalid)?;
    if length > MAX_FRAME_BYTES {
        return Err(invalid(format!(
            "frame of {length} bytes exceeds {MAX_FRAME_BYTES}"
        )));
    }
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    writer.write_all(&bytes)?;
    Ok(bytes.len())
}

/// Reads one frame.
///
/// # Errors
///
/// The error of the reader, or `InvalidData` for a frame that is too large or malformed.
pub fn read_frame(reader: &mut impl Read) -> io::Result<Frame> {
    let mut length = [0_u8; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > MAX_FRAME_BYTES {
        return Err(invalid(format!(
            "frame of {length} bytes exceeds {MAX_FRAME_BYTES}"
        )));
    }
    let mut body = Vec::new();
    reader.take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() < length as usize {
        return Err(io::Error::new(
            ErrorKind::UnexpectedEof,
            "the frame was cut off",
        ));
    }
    postcard::from_bytes(&body).map_err(invalid)
}

fn invalid(error: impl ToString) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error.to_string())
}
