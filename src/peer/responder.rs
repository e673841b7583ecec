//! Replies that are given after the handler of a call has returned.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crossbeam::channel::{Receiver, Sender, unbounded};

use super::call_load::CountedCall;
use super::channel::FrameWriter;
use super::frame::Frame;
use crate::protocol::peer::PeerReply;

/// Calls of one connection without a reply: as many as a blocking handler takes and queues.
pub const MAX_CALLS_IN_FLIGHT: usize = 2_048;
/// Frames that wait for the writing thread. One commit may answer all calls in flight at once; a
/// peer that calls on without reading replies exceeds the limit, and its connection is closed.
pub const MAX_QUEUED_FRAMES: usize = 2 * MAX_CALLS_IN_FLIGHT;
/// Frames that are written with one system call.
const MAX_FRAMES_PER_WRITE: usize = 64;

/// Takes the reply to one call, on any thread and without blocking. Dropping it unanswered tells
/// the caller that the call may have taken effect.
pub struct Responder {
    call_id: u64,
    outbox: Outbox,
    counted: CountedCall,
    answered: bool,
}

impl Responder {
    /// A responder for a call on the connection of the outbox.
    pub(super) fn new(call_id: u64, outbox: Outbox, counted: CountedCall) -> Self {
        outbox.calls_in_flight.fetch_add(1, Ordering::AcqRel);
        Self {
            call_id,
            outbox,
            counted,
            answered: false,
        }
    }

    /// Notes that this thread begins to handle the call.
    pub(super) fn begin(&self) {
        self.counted.begin();
    }

    /// Sends the reply.
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

/// Frames on their way to one peer.
#[derive(Clone)]
pub(super) struct Outbox {
    /// `None` ends the writing thread.
    frames: Sender<Option<Frame>>,
    /// Frames that were sent and not taken by the writing thread.
    queued: Arc<AtomicUsize>,
    calls_in_flight: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
    stream: Arc<TcpStream>,
}

/// The other end of an [`Outbox`].
pub(super) struct OutboxReader {
    frames: Receiver<Option<Frame>>,
    queued: Arc<AtomicUsize>,
}

impl Outbox {
    /// An outbox for the connection.
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

    /// Calls that have no reply yet.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.load(Ordering::Acquire)
    }

    /// Queues a frame, or closes the connection when too many wait.
    pub(super) fn send(&self, frame: Frame) {
        if self.is_closed() {
            return;
        }
        if self.queued.fetch_add(1, Ordering::AcqRel) >= MAX_QUEUED_FRAMES {
            log::warn!(peer:? = self.stream.peer_addr().ok(); "closing a peer connection: {MAX_QUEUED_FRAMES} frames were not taken");
            self.close();
            return;
        }
        // Fails once the connection has ended, when nobody waits for the frame.
        let _ = self.frames.send(Some(frame));
    }

    /// Whether the connection was ended on this side; calls that it still holds are not read.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Ends the connection and its writing thread.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        let _ = self.stream.shutdown(Shutdown::Both);
        let _ = self.frames.send(None);
    }
}

impl OutboxReader {
    /// Writes frames until the connection ends.
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
