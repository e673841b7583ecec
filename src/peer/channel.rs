//! Authenticated frames over an established connection.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, TcpStream};
use std::sync::Arc;

use super::frame::{
    Frame, LENGTH_BYTES, MAX_FRAME_BYTES, call_id_of_request, decode, encode, length_prefixed,
    read_body, read_length, read_reserved,
};
use super::keys::{CODE_BYTES, code, codes_match};
use crate::http::body_budget::{BodyBudget, Reservation};

/// Largest frame that is read without a reservation. Nearly all frames are smaller, and the
/// connections of a server hold 16 MiB of them at most.
const UNRESERVED_FRAME_BYTES: usize = 64 * 1024;

/// Sends frames in one direction of a connection.
pub struct FrameWriter<W> {
    stream: W,
    secret: [u8; 32],
    /// Number of frames sent so far; no number is used twice with the same secret.
    sequence: u64,
}

impl<W: Write> FrameWriter<W> {
    /// Creates a writer for a connection on which no frame was sent in this direction.
    pub fn new(stream: W, secret: [u8; 32]) -> Self {
        Self {
            stream,
            secret,
            sequence: 0,
        }
    }

    /// Writes one frame and returns its size on the wire in bytes.
    ///
    /// # Errors
    ///
    /// The error of the stream, or `InvalidData` for a frame that is too large. After an error of
    /// the stream the connection must be closed, since part of the frame may have been sent.
    pub fn write(&mut self, frame: &Frame) -> io::Result<usize> {
        let bytes = self.seal(frame)?;
        self.stream.write_all(&bytes)?;
        Ok(bytes.len())
    }

    /// Writes several frames with a single write to the stream, and returns their size on the wire
    /// in bytes.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::write`].
    pub fn write_all(&mut self, frames: &[Frame]) -> io::Result<usize> {
        let mut bytes = Vec::new();
        for frame in frames {
            bytes.extend_from_slice(&self.seal(frame)?);
        }
        self.stream.write_all(&bytes)?;
        Ok(bytes.len())
    }

    fn seal(&mut self, frame: &Frame) -> io::Result<Vec<u8>> {
        let mut body = encode(frame)?;
        let code = code(&self.secret, &[&self.sequence.to_be_bytes(), &body]);
        body.extend_from_slice(&code);
        let bytes = length_prefixed(&body)?;
        self.sequence += 1;
        Ok(bytes)
    }

    /// Returns the stream, so that the caller can shut it down.
    pub fn stream(&self) -> &W {
        &self.stream
    }
}

/// An authentic frame on an accepted connection.
#[allow(clippy::large_enum_variant)] // Frames live only on the stack of one call.
pub enum ReceivedCall {
    /// A frame that was decoded.
    Frame(Frame),
    /// A request whose operation cannot be decoded.
    Undecodable {
        /// Identifier of the call, unique on the connection.
        call_id: u64,
    },
}

/// Memory budget of the large frames of a server, with the connection that is shut down if its
/// unfinished frame has to make room.
pub struct FrameBudget {
    /// Budget of all connections of the server.
    pub budget: Arc<BodyBudget>,
    /// Address of the other end.
    pub address: IpAddr,
    /// Connection of the reader.
    pub stream: Arc<TcpStream>,
}

/// Receives frames in one direction of a connection.
pub struct FrameReader<R> {
    stream: R,
    secret: [u8; 32],
    sequence: u64,
    last_frame_bytes: usize,
    budget: Option<FrameBudget>,
    /// Memory of the last frame, which the next read releases: its call may still be handled.
    reservation: Option<Reservation>,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader for a connection on which no frame was received in this direction.
    pub fn new(stream: R, secret: [u8; 32]) -> Self {
        Self {
            stream,
            secret,
            sequence: 0,
            last_frame_bytes: 0,
            budget: None,
            reservation: None,
        }
    }

    /// Makes the reader reserve the memory of large frames.
    pub fn within(mut self, budget: FrameBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Returns the size of the last frame that was read, including its length field and its message
    /// authentication code, in bytes.
    pub fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Reads and verifies one frame.
    ///
    /// # Errors
    ///
    /// The error of the stream, `InvalidData` for a malformed frame, or `PermissionDenied` for a
    /// frame that was changed, reordered or replayed. With a budget, `OutOfMemory` without room for
    /// the frame, or `TimedOut` when it arrives too slowly.
    pub fn read(&mut self) -> io::Result<Frame> {
        decode(&self.read_content()?)
    }

    /// Reads and verifies one frame on an accepted connection.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::read`], except that a request whose operation cannot be decoded is
    /// returned as [`ReceivedCall::Undecodable`].
    pub fn read_call(&mut self) -> io::Result<ReceivedCall> {
        let content = self.read_content()?;
        decode(&content).map(ReceivedCall::Frame).or_else(|error| {
            let call_id = call_id_of_request(&content).ok_or(error)?;
            Ok(ReceivedCall::Undecodable { call_id })
        })
    }

    /// Reads the content of one frame and verifies its message authentication code.
    fn read_content(&mut self) -> io::Result<Vec<u8>> {
        let mut body = self.read_frame()?;
        self.last_frame_bytes = LENGTH_BYTES + body.len();
        let Some((content, received)) = body.split_last_chunk::<CODE_BYTES>() else {
            return Err(io::Error::new(
                ErrorKind::InvalidData,
                "the frame is too short",
            ));
        };
        let expected = code(&self.secret, &[&self.sequence.to_be_bytes(), content]);
        if !codes_match(&expected, received) {
            return Err(io::Error::new(
                ErrorKind::PermissionDenied,
                "the frame is not authentic",
            ));
        }
        self.sequence += 1;
        let content_bytes = content.len();
        body.truncate(content_bytes);
        Ok(body)
    }

    /// Reads one frame without its length field.
    fn read_frame(&mut self) -> io::Result<Vec<u8>> {
        self.reservation = None;
        let Some(limit) = &self.budget else {
            return read_body(&mut self.stream, MAX_FRAME_BYTES);
        };
        let length = read_length(&mut self.stream, MAX_FRAME_BYTES)?;
        if length <= UNRESERVED_FRAME_BYTES {
            let mut body = vec![0; length];
            self.stream.read_exact(&mut body)?;
            return Ok(body);
        }
        let stream = Arc::clone(&limit.stream);
        let mut reservation = limit.budget.open(Some(limit.address), Some(stream));
        let body = read_reserved(&mut self.stream, length, &mut reservation)?;
        self.reservation = Some(reservation);
        Ok(body)
    }
}
