//! Replies to calls, which may be sent after the handler of a call has returned.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crossbeam::channel::{Receiver, Sender, unbounded};

use super::call_load::CountedCall;
use super::channel::FrameWriter;
use super::frame::Frame;
use crate::protocol::peer::PeerReply;

/// Largest number of calls of one connection that have no reply yet: as many as a blocking handler
/// handles and queues.
pub const MAX_CALLS_IN_FLIGHT: usize = 2_048;
/// Largest number of frames that wait for the writer thread. One commit may answer all calls in
/// flight at once. A peer that sends calls without reading the replies exceeds the limit, and its
/// connection is closed.
pub const MAX_QUEUED_FRAMES: usize = 2 * MAX_CALLS_IN_FLIGHT;
/// Largest number of frames that are written with one system call.
const MAX_FRAMES_PER_WRITE: usize = 64;

/// Accepts the reply to one call, on any thread and without blocking. A responder that is dropped
/// without a reply tells the caller that the call may have taken effect.
pub struct Responder {
    call_id: u64,
    outbox: Outbox,
    counted: CountedCall,
    answered: bool,
}

impl Responder {
    /// Creates a responder for a call on the connection of the outbox.
    pub(super) fn new(call_id: u64, outbox: Outbox, counted: CountedCall) -> Self {
        outbox.calls_in_flight.fetch_add(1, Ordering::AcqRel);
        Self {
            call_id,
            outbox,
            counted,
            answered: false,
        }
    }

    /// Records that this thread begins to handle the call.
    pub(super) fn begin(&self) {
        self.counted.begin();
    }

    /// Queues the reply for the writer thread of the connection.
    pub fn answer(mut self, reply: PeerReply) {
        self.send(reply);
    }

    fn send(&mut self, reply: PeerReply) {
        self.answered = true;
        self.outbox.calls_in_flight.fetch_sub(1, Ordering::AcqRel);
        self.outbox.send(Frame::Reply {
            call_id: self.call_id,
            reply,
        });
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if !self.answered {
            self.send(PeerReply::Unanswered);
        }
    }
}

/// Queue of frames to one peer.
#[derive(Clone)]
pub(super) struct Outbox {
    /// `None` ends the writer thread.
    frames: Sender<Option<Frame>>,
    /// Number of frames that the writer thread has not received yet.
    queued: Arc<AtomicUsize>,
    calls_in_flight: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
    stream: Arc<TcpStream>,
}

/// Receiving end of an [`Outbox`], for the writer thread.
pub(super) struct OutboxReader {
    frames: Receiver<Option<Frame>>,
    queued: Arc<AtomicUsize>,
}

impl Outbox {
    /// Creates an outbox for the connection and its receiving end.
    pub(super) fn new(stream: TcpStream) -> (Self, OutboxReader) {
        let (sender, frames) = unbounded();
        let queued = Arc::new(AtomicUsize::new(0));
        let outbox = Self {
            frames: sender,
            queued: Arc::clone(&queued),
            calls_in_flight: Arc::default(),
            closed: Arc::default(),
            stream: Arc::new(stream),
        };
        (outbox, OutboxReader { frames, queued })
    }

    /// Returns the number of calls that have no reply yet.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.load(Ordering::Acquire)
    }

    /// Queues a frame, or closes the connection when [`MAX_QUEUED_FRAMES`] are queued.
    pub(super) fn send(&self, frame: Frame) {
        if self.is_closed() {
            return;
        }
        if self.queued.fetch_add(1, Ordering::AcqRel) >= MAX_QUEUED_FRAMES {
            log::warn!(peer:? = self.stream.peer_addr().ok(); "closing a peer connection: {MAX_QUEUED_FRAMES} frames wait to be written");
            self.close();
            return;
        }
        // Sending fails once the writer thread has ended, when the frame cannot be delivered.
        let _ = self.frames.send(Some(frame));
    }

    /// Returns whether this host has closed the connection; calls that were received but not read
    /// are then ignored.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Closes the connection and ends its writer thread.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        let _ = self.stream.shutdown(Shutdown::Both);
        let _ = self.frames.send(None);
    }
}

impl OutboxReader {
    /// Writes queued frames until the connection ends.
    pub(super) fn write_to(self, mut writer: FrameWriter<TcpStream>) -> io::Result<()> {
        let mut batch = Vec::new();
        while let Ok(Some(frame)) = self.frames.recv() {
            batch.push(frame);
            let mut ended = false;
            while batch.len() < MAX_FRAMES_PER_WRITE {
                match self.frames.try_recv() {
                    Ok(Some(frame)) => batch.push(frame),
                    Ok(None) => {
                        ended = true;
                        break;
                    }
                    Err(_) => break,
                }
            }
            self.queued.fetch_sub(batch.len(), Ordering::AcqRel);
            let written = writer.write_all(&batch);
            if let Err(error) = written {
                let _ = writer.stream().shutdown(Shutdown::Both);
                return Err(error);
            }
            batch.clear();
            if ended {
                break;
            }
        }
        Ok(())
    }
}
