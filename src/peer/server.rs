//! Accepts connections from other entry hosts.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

use super::call_load::{CountedCall, CountedThread};
use super::channel::{FrameReader, FrameWriter};
use super::frame::Frame;
use super::handshake;
use super::keys::ClusterKeys;
use super::{CONNECT_TIMEOUT, IDLE_PING_INTERVAL, SILENCE_TIMEOUT, WRITE_TIMEOUT};
use crate::ids::HostId;
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Connections accepted at once: several for each host of a large cell.
const MAX_CONNECTIONS: usize = 256;
/// Calls of one connection that are handled at once.
const MAX_CALLS_IN_FLIGHT: usize = 4096;
/// Stack of a call's thread; handlers do not recurse.
const CALL_STACK_BYTES: usize = 256 * 1024;
/// Time after which a thread without calls ends.
const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Computes the reply to a call from the named host; may block.
pub type PeerHandler = Arc<dyn Fn(HostId, PeerRequest) -> PeerReply + Send + Sync>;

/// A running listener for other hosts.
pub struct PeerServer {
    local_address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    keys: ClusterKeys,
    threads: CallThreads,
    stopping: AtomicBool,
    /// Open connections, so that stopping can end them.
    connections: Mutex<Vec<TcpStream>>,
}

impl PeerServer {
    /// Binds the address and serves in background threads.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(address: SocketAddr, keys: ClusterKeys, handler: PeerHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let local_address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            keys,
            threads: CallThreads::new(handler),
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

    /// Address on which the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Stops accepting and ends all connections.
    pub fn stop(&self) {
        if self.shared.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        for connection in self.shared.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which checks the flag after each accept.
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
        let Some(registered) = register(&stream, shared) else {
            continue;
        };
        let connection = Arc::clone(shared);
        let spawned = thread::Builder::new()
            .name("peer-connection".to_owned())
            .spawn(move || {
                if let Err(error) = serve_connection(stream, &connection) {
                    log::debug!("peer connection from {registered} ended: {error}");
                }
                forget(&connection, registered);
            });
        if let Err(error) = spawned {
            log::warn!("cannot start a connection thread: {error}");
            forget(shared, registered);
        }
    }
}

/// Remembers the connection; `None` when too many are open.
fn register(stream: &TcpStream, shared: &Shared) -> Option<SocketAddr> {
    let address = stream.peer_addr().ok()?;
    let copy = stream.try_clone().ok()?;
    let mut connections = shared.connections.lock().unwrap();
    if connections.len() >= MAX_CONNECTIONS {
        log::warn!("refusing a peer connection from {address}: {MAX_CONNECTIONS} are open");
        return None;
    }
    connections.push(copy);
    Some(address)
}

fn forget(shared: &Shared, address: SocketAddr) {
    let mut connections = shared.connections.lock().unwrap();
    connections.retain(|stream| stream.peer_addr().is_ok_and(|peer| peer != address));
}

fn serve_connection(mut stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let session = handshake::accept(&mut stream, &shared.keys)?;
    // The opening end pings at least this often, so that a longer silence means that it is gone.
    stream.set_read_timeout(Some(IDLE_PING_INTERVAL + SILENCE_TIMEOUT))?;
    let writer = Arc::new(Mutex::new(FrameWriter::new(
        stream.try_clone()?,
        session.server_secret,
    )));
    let mut reader = FrameReader::new(stream, session.client_secret);
    let in_flight = Arc::new(AtomicUsize::new(0));
    loop {
        match reader.read()? {
            Frame::Request { call_id, request } => {
                if in_flight.fetch_add(1, Ordering::AcqRel) >= MAX_CALLS_IN_FLIGHT {
                    in_flight.fetch_sub(1, Ordering::AcqRel);
                    let reply = PeerReply::Refused("too many calls in flight".to_owned());
                    writer
                        .lock()
                        .unwrap()
                        .write(&Frame::Reply { call_id, reply })?;
                    continue;
                }
                shared.threads.run(Call {
                    writer: Arc::clone(&writer),
                    in_flight: Arc::clone(&in_flight),
                    host: session.client.clone(),
                    call_id,
                    counted: CountedCall::arrived(&request),
                    request,
                })?;
            }
            Frame::Ping => {
                writer.lock().unwrap().write(&Frame::Pong)?;
            }
            Frame::Pong => {}
            Frame::Reply { .. } => {
                return Err(io::Error::other("a reply on an accepted connection"));
            }
        }
    }
}

/// Threads that handle calls. A call never waits for another one: when no thread is free, one is
/// started, which then serves further calls. Starting a thread for each call took a third of the
/// processor time of a follower.
struct CallThreads {
    handler: PeerHandler,
    calls: Sender<Call>,
    queue: Receiver<Call>,
    /// Threads that wait for a call, less the calls that were handed to them.
    free: Arc<AtomicUsize>,
}

impl CallThreads {
    fn new(handler: PeerHandler) -> Self {
        let (calls, queue) = unbounded();
        Self {
            handler,
            calls,
            queue,
            free: Arc::default(),
        }
    }

    fn run(&self, call: Call) -> io::Result<()> {
        let taken = self
            .free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                free.checked_sub(1)
            });
        if taken.is_ok() {
            // Cannot fail: this side holds a receiver.
            let _ = self.calls.send(call);
            return Ok(());
        }
        let (handler, queue) = (Arc::clone(&self.handler), self.queue.clone());
        let free = Arc::clone(&self.free);
        thread::Builder::new()
            .name("peer-call".to_owned())
            .stack_size(CALL_STACK_BYTES)
            .spawn(move || {
                let _counted = CountedThread::begin();
                let mut next = Some(call);
                while let Some(call) = next {
                    call.handle(&handler);
                    next = next_call(&queue, &free);
                }
            })?;
        Ok(())
    }
}

/// Waits for a call; `None` when the thread may end.
fn next_call(queue: &Receiver<Call>, free: &AtomicUsize) -> Option<Call> {
    free.fetch_add(1, Ordering::AcqRel);
    if let Ok(call) = queue.recv_timeout(IDLE_THREAD_LIFETIME) {
        return Some(call);
    }
    let left = free.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
        free.checked_sub(1)
    });
    if left.is_ok() {
        return None;
    }
    // A call was handed to this thread while it gave up.
    queue.recv().ok()
}

/// One call that is being handled.
struct Call {
    writer: Arc<Mutex<FrameWriter<TcpStream>>>,
    in_flight: Arc<AtomicUsize>,
    host: HostId,
    call_id: u64,
    counted: CountedCall,
    request: PeerRequest,
}

impl Call {
    fn handle(self, handler: &PeerHandler) {
        self.counted.begin();
        let reply = handler(self.host, self.request);
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        let frame = Frame::Reply {
            call_id: self.call_id,
            reply,
        };
        let mut writer = self.writer.lock().unwrap();
        if let Err(error) = writer.write(&frame) {
            log::debug!("cannot send a reply: {error}");
            let _ = writer.stream().shutdown(Shutdown::Both);
        }
    }
}
