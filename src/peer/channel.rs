//! Authenticated frames over an established connection.

use std::io::{self, ErrorKind, Read, Write};

use super::frame::{Frame, LENGTH_BYTES, MAX_FRAME_BYTES, decode, encode, read_body, with_length};
use super::keys::{CODE_BYTES, code, codes_match};

/// Sends frames in one direction of a connection.
pub struct FrameWriter<W> {
    stream: W,
    secret: [u8; 32],
    /// Frames sent so far; never repeats under one secret.
    sequence: u64,
}

impl<W: Write> FrameWriter<W> {
    /// A writer at the start of its direction.
    pub fn new(stream: W, secret: [u8; 32]) -> Self {
        Self {
            stream,
            secret,
            sequence: 0,
        }
    }

    /// Writes one frame and returns its size on the wire.
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

    /// Writes frames with one call of the operating system.
    ///
    /// # Errors
    ///
    /// As [`Self::write`].
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
        let bytes = with_length(&body)?;
        self.sequence += 1;
        Ok(bytes)
    }

    /// The stream, for shutting it down.
    pub fn stream(&self) -> &W {
        &self.stream
    }
}

/// Receives frames in one direction of a connection.
pub struct FrameReader<R> {
    stream: R,
    secret: [u8; 32],
    sequence: u64,
    last_frame_bytes: usize,
}

impl<R: Read> FrameReader<R> {
    /// A reader at the start of its direction.
    pub fn new(stream: R, secret: [u8; 32]) -> Self {
        Self {
            stream,
            secret,
            sequence: 0,
            last_frame_bytes: 0,
        }
    }

    /// Size of the last frame that was read, with its length and authentication code.
    pub fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Reads and verifies one frame.
    ///
    /// # Errors
    ///
    /// The error of the stream, `InvalidData` for a malformed frame, `PermissionDenied` for one
    /// that was changed, reordered or replayed.
    pub fn read(&mut self) -> io::Result<Frame> {
        let body = read_body(&mut self.stream, MAX_FRAME_BYTES)?;
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
        decode(content)
    }
}
