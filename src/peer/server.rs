//! Server for calls from other entry hosts.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::call_load::CountedCall;
use super::channel::{FrameBudget, FrameReader, FrameWriter, ReceivedCall};
use super::frame::{Frame, MAX_FRAME_BYTES};
use super::handshake;
use super::keys::ClusterKeys;
use super::pool::{CallPool, CallPoolOptions};
use super::responder::{MAX_CALLS_IN_FLIGHT, Outbox, Responder};
use super::{CONNECT_TIMEOUT, IDLE_PING_INTERVAL, SILENCE_TIMEOUT, WRITE_TIMEOUT};
use crate::http::body_budget::{BodyBudget, BodyLimits};
use crate::ids::HostId;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::telemetry::processor_time;

/// Largest number of open connections: several for each host of a large cell.
const MAX_CONNECTIONS: usize = 256;
/// Stack size of a writer thread, which encodes frames and does not recurse.
const WRITER_STACK_BYTES: usize = 128 * 1024;
/// Largest number of threads for messages of replicated logs. Each other host has at most one
/// message in flight for each log.
const MAX_LOG_THREADS: usize = 64;
/// Largest number of messages of replicated logs that wait for a thread.
const MAX_QUEUED_LOG_MESSAGES: usize = 256;
/// Largest number of threads for other calls to a blocking handler. A forwarded request occupies a
/// thread until it ends.
const MAX_CALL_THREADS: usize = 1_024;
/// Largest number of other calls to a blocking handler that wait for a thread.
const MAX_QUEUED_CALLS: usize = 1_024;
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Default memory of the large frames that a server receives at the same time: two of the largest.
pub const DEFAULT_HELD_FRAME_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Handles a call from the given host on the reader thread of its connection. The handler must not
/// block: it passes long operations to another thread together with the responder.
pub type CallHandler = Arc<dyn Fn(HostId, PeerRequest, Responder) + Send + Sync>;
/// Returns the reply to a call from the given host; may block.
pub type PeerHandler = Arc<dyn Fn(HostId, PeerRequest) -> PeerReply + Send + Sync>;

/// A running server for calls from other hosts. Dropping the server stops it.
pub struct PeerServer {
    local_address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    keys: ClusterKeys,
    handler: CallHandler,
    /// Memory of the large frames that are received. It is apart from the budget of the bodies of
    /// requests, so that clients cannot keep the hosts of a cell from each other.
    budget: Arc<BodyBudget>,
    stopping: AtomicBool,
    /// Open connections, which are closed when the server stops.
    connections: Mutex<Vec<Arc<TcpStream>>>,
}

impl PeerServer {
    /// Starts a server with a handler that may block. The handler runs on a limited number of
    /// threads, and calls that exceed the limits are refused.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::start_deferred`].
    pub fn start(address: SocketAddr, keys: ClusterKeys, handler: PeerHandler) -> io::Result<Self> {
        Self::start_deferred(address, keys, run_on_pools(handler))
    }

    /// Starts a server with a handler that must not block and may answer later. Each connection has
    /// a reader and a writer thread.
    ///
    /// # Errors
    ///
    /// The error of binding the address or of starting the accept thread.
    pub fn start_deferred(
        address: SocketAddr,
        keys: ClusterKeys,
        handler: CallHandler,
    ) -> io::Result<Self> {
        Self::start_limited(address, keys, DEFAULT_HELD_FRAME_BYTES, handler)
    }

    /// Starts a server like [`Self::start_deferred`], with the memory in bytes that large frames may
    /// hold before they are complete; at least that of one frame of the largest size. One address
    /// may hold half of it, but always one such frame.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::start_deferred`].
    pub fn start_limited(
        address: SocketAddr,
        keys: ClusterKeys,
        max_held_frame_bytes: usize,
        handler: CallHandler,
    ) -> io::Result<Self> {
        let limits = BodyLimits {
            max_total_bytes: max_held_frame_bytes.max(MAX_FRAME_BYTES),
            max_address_bytes: (max_held_frame_bytes / 2).max(MAX_FRAME_BYTES),
            ..BodyLimits::default()
        };
        let listener = TcpListener::bind(address)?;
        let local_address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            keys,
            handler,
            budget: Arc::new(BodyBudget::new(limits)),
            stopping: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || accept_connections(&listener, &accepting))?;
        Ok(Self {
            local_address,
            shared,
        })
    }

    /// Returns the address on which the server listens, with the port that the system chose for
    /// port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Stops accepting connections and closes all open ones.
    pub fn stop(&self) {
        if self.shared.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        for connection in self.shared.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the accept thread, which checks the flag after each accept.
        let _ = TcpStream::connect_timeout(&self.local_address, CONNECT_TIMEOUT);
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    for accepted in listener.incoming() {
        if shared.stopping.load(Ordering::Acquire) {
            return;
        }
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                thread::sleep(ACCEPT_RETRY_PAUSE);
                continue;
            }
        };
        let Some((registered, copy)) = register(&stream, shared) else {
            continue;
        };
        let limit = FrameBudget {
            budget: Arc::clone(&shared.budget),
            address: registered.ip(),
            stream: copy,
        };
        let connection = Arc::clone(shared);
        let spawned = thread::Builder::new()
            .name("peer-connection".to_owned())
            .spawn(move || {
                if let Err(error) = serve_connection(stream, limit, &connection) {
                    log::debug!("peer connection from {registered} ended: {error}");
                }
                deregister(&connection, registered);
            });
        if let Err(error) = spawned {
            log::warn!("cannot start a peer connection thread: {error}");
            deregister(shared, registered);
        }
    }
}

/// Registers the connection and returns the address of the peer with the registered copy; `None`
/// when too many are open.
fn register(stream: &TcpStream, shared: &Shared) -> Option<(SocketAddr, Arc<TcpStream>)> {
    let address = stream.peer_addr().ok()?;
    let copy = Arc::new(stream.try_clone().ok()?);
    let mut connections = shared.connections.lock().unwrap();
    if connections.len() >= MAX_CONNECTIONS {
        log::warn!(
            "refusing a peer connection from {address}: {MAX_CONNECTIONS} connections are open"
        );
        return None;
    }
    connections.push(Arc::clone(&copy));
    Some((address, copy))
}

fn deregister(shared: &Shared, address: SocketAddr) {
    let mut connections = shared.connections.lock().unwrap();
    connections.retain(|stream| stream.peer_addr().is_ok_and(|peer| peer != address));
}

fn serve_connection(
    mut stream: TcpStream,
    limit: FrameBudget,
    shared: &Arc<Shared>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let session = handshake::accept(&mut stream, &shared.keys)?;
    // The opening end sends a frame at least once in IDLE_PING_INTERVAL, so after a longer time
    // without a frame the connection is dead.
    stream.set_read_timeout(Some(IDLE_PING_INTERVAL + SILENCE_TIMEOUT))?;
    let writer = FrameWriter::new(stream.try_clone()?, session.server_secret);
    let (outbox, queue) = Outbox::new(stream.try_clone()?);
    thread::Builder::new()
        .name("peer-writer".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || {
            if let Err(error) = queue.write_to(writer) {
                log::debug!("cannot write replies: {error}");
            }
        })?;
    let reader = FrameReader::new(stream, session.client_secret).within(limit);
    let result = read_calls(reader, &session.client, &outbox, shared);
    outbox.close();
    result
}

fn read_calls(
    mut reader: FrameReader<TcpStream>,
    host: &HostId,
    outbox: &Outbox,
    shared: &Shared,
) -> io::Result<()> {
    while !outbox.is_closed() {
        let frame = match reader.read_call()? {
            ReceivedCall::Frame(frame) => frame,
            ReceivedCall::Undecodable { call_id } => {
                // Closing the connection would leave all other calls of the host without a reply.
                log::warn!(host = host.as_str(); "refusing a peer call that cannot be decoded");
                let reply = PeerReply::Refused("the call cannot be decoded".to_owned());
                outbox.send(Frame::Reply { call_id, reply });
                continue;
            }
        };
        match frame {
            Frame::Request { call_id, request } => {
                if outbox.calls_in_flight() >= MAX_CALLS_IN_FLIGHT {
                    let reply = PeerReply::Refused("too many calls in flight".to_owned());
                    outbox.send(Frame::Reply { call_id, reply });
                    continue;
                }
                let counted = CountedCall::arrived(&request);
                let responder = Responder::new(call_id, outbox.clone(), counted);
                responder.begin();
                // A panic drops the responder, which ends the call as unanswered. Without its
                // reader, the connection would stay open and fail all other calls of the host.
                let handle = || (shared.handler)(host.clone(), request, responder);
                if catch_unwind(AssertUnwindSafe(handle)).is_err() {
                    log::error!(host = host.as_str(); "the handler of a peer call panicked");
                }
                processor_time::charge();
            }
            Frame::Ping => outbox.send(Frame::Pong),
            Frame::Pong => {}
            Frame::Reply { .. } => {
                return Err(io::Error::other("a reply on an accepted connection"));
            }
        }
    }
    Ok(())
}

/// Returns a handler that runs a blocking handler on thread pools. Messages of replicated logs have
/// a pool of their own, so that they never wait behind other calls.
fn run_on_pools(handler: PeerHandler) -> CallHandler {
    let pool = |name: &str, max_threads, max_queued| {
        CallPool::new(CallPoolOptions {
            name: name.to_owned(),
            max_threads,
            max_queued,
        })
    };
    let log = pool("peer-log", MAX_LOG_THREADS, MAX_QUEUED_LOG_MESSAGES);
    let calls = pool("peer-call", MAX_CALL_THREADS, MAX_QUEUED_CALLS);
    Arc::new(move |host, request, responder| {
        let pool = match &request {
            PeerRequest::Replication { .. } => &log,
            _ => &calls,
        };
        let handler = Arc::clone(&handler);
        pool.run(responder, move |responder| {
            responder.answer(handler(host, request));
        });
    })
}
