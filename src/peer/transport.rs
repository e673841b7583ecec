//! Multiplexed calls over one connection per pair of hosts and direction.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indexmap::IndexMap;
use thiserror::Error;

use super::frame::{Frame, read_frame, write_frame};
use crate::ids::HostId;
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Time for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for handing a frame to the operating system; a longer block means a dead connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a connection counts as dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Computes the reply to a call from the named host; may block.
pub type PeerHandler = Arc<dyn Fn(HostId, PeerRequest) -> PeerReply + Send + Sync>;

/// A failed call.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// The request never left this host.
    #[error("cannot reach {host}: {reason}")]
    NotSent {
        /// Host that was called.
        host: HostId,
        /// What failed.
        reason: String,
    },
    /// The request may have arrived, and no reply came.
    #[error("no reply from {host}: {reason}")]
    NoReply {
        /// Host that was called.
        host: HostId,
        /// What failed.
        reason: String,
    },
}

/// Accepts connections from other hosts.
pub struct PeerServer {
    local_address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl PeerServer {
    /// Binds the address and serves in background threads.
    ///
    /// # Errors
    ///
    /// The error of binding the address.
    pub fn start(address: SocketAddr, handler: PeerHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let local_address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || {
                for accepted in listener.incoming() {
                    if stop.load(Ordering::Acquire) {
                        return;
                    }
                    let Ok(stream) = accepted else { continue };
                    let handler = Arc::clone(&handler);
                    thread::spawn(move || {
                        if let Err(error) = serve_peer(stream, &handler) {
                            log::debug!("peer connection ended: {error}");
                        }
                    });
                }
            })?;
        Ok(Self {
            local_address,
            stopping,
        })
    }

    /// Address on which the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        let _ = TcpStream::connect_timeout(&self.local_address, CONNECT_TIMEOUT);
    }
}

fn serve_peer(mut stream: TcpStream, handler: &PeerHandler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SILENCE_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let Frame::Hello { host } = read_frame(&mut stream)? else {
        return Err(io::Error::other("the first frame is not a hello"));
    };
    loop {
        match read_frame(&mut stream)? {
            Frame::Request { call_id, request } => {
                let (handler, writer, host) =
                    (Arc::clone(handler), Arc::clone(&writer), host.clone());
                thread::spawn(move || {
                    let reply = handler(host, request);
                    let mut writer = writer.lock().unwrap();
                    if let Err(error) = write_frame(&mut *writer, &Frame::Reply { call_id, reply })
                    {
                        log::debug!("cannot send a reply: {error}");
                    }
                });
            }
            Frame::Ping => {
                write_frame(&mut *writer.lock().unwrap(), &Frame::Pong)?;
            }
            Frame::Pong => {}
            Frame::Hello { .. } | Frame::Reply { .. } => {
                return Err(io::Error::other(
                    "unexpected frame on an accepted connection",
                ));
            }
        }
    }
}

/// Calls to one other host.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<ClientShared>,
}

struct ClientShared {
    local_host: HostId,
    remote_host: HostId,
    address: SocketAddr,
    next_call_id: AtomicU64,
    connection: Mutex<Option<Arc<Connection>>>,
}

struct Connection {
    writer: Mutex<TcpStream>,
    /// Calls waiting for a reply. `None` once the connection has ended.
    waiting: Mutex<Option<IndexMap<u64, Sender<PeerReply>>>>,
}

impl PeerClient {
    /// A client that connects with its first call.
    pub fn new(local_host: HostId, remote_host: HostId, address: SocketAddr) -> Self {
        Self {
            shared: Arc::new(ClientShared {
                local_host,
                remote_host,
                address,
                next_call_id: AtomicU64::new(1),
                connection: Mutex::new(None),
            }),
        }
    }

    /// Sends a request and waits for its reply until the deadline.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when the request certainly did not arrive, otherwise
    /// [`CallError::NoReply`].
    pub fn call(&self, request: PeerRequest, deadline: Instant) -> Result<PeerReply, CallError> {
        let connection = self.connection()?;
        let call_id = self.shared.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        match connection.waiting.lock().unwrap().as_mut() {
            Some(waiting) => waiting.insert(call_id, sender),
            None => return Err(self.not_sent("the connection has ended")),
        };
        let frame = Frame::Request { call_id, request };
        let written = write_frame(&mut *connection.writer.lock().unwrap(), &frame);
        if let Err(error) = written {
            self.discard(&connection);
            // A partly written frame is never complete at the receiver, but a timeout can strike
            // after the last byte was taken.
            return Err(self.no_reply(&error.to_string()));
        }
        let reply = self.wait(&receiver, deadline);
        if let Some(waiting) = connection.waiting.lock().unwrap().as_mut() {
            waiting.swap_remove(&call_id);
        }
        reply
    }

    fn wait(
        &self,
        receiver: &Receiver<PeerReply>,
        deadline: Instant,
    ) -> Result<PeerReply, CallError> {
        receiver
            .recv_deadline(deadline)
            .map_err(|error| match error {
                RecvTimeoutError::Timeout => self.no_reply("the deadline passed"),
                RecvTimeoutError::Disconnected => self.no_reply("the connection ended"),
            })
    }

    fn connection(&self) -> Result<Arc<Connection>, CallError> {
        let mut current = self.shared.connection.lock().unwrap();
        if let Some(connection) = current.as_ref() {
            return Ok(Arc::clone(connection));
        }
        let connection = self
            .connect()
            .map_err(|error| self.not_sent(&error.to_string()))?;
        *current = Some(Arc::clone(&connection));
        Ok(connection)
    }

    fn connect(&self) -> io::Result<Arc<Connection>> {
        let mut stream = TcpStream::connect_timeout(&self.shared.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(SILENCE_TIMEOUT))?;
        write_frame(
            &mut stream,
            &Frame::Hello {
                host: self.shared.local_host.clone(),
            },
        )?;
        let reader = stream.try_clone()?;
        let connection = Arc::new(Connection {
            writer: Mutex::new(stream),
            waiting: Mutex::new(Some(IndexMap::new())),
        });
        let (client, reading) = (self.clone(), Arc::clone(&connection));
        thread::spawn(move || {
            let error = read_replies(reader, &reading);
            log::debug!("connection to {} ended: {error}", client.shared.remote_host);
            client.discard(&reading);
        });
        let (client, pinging) = (self.clone(), Arc::clone(&connection));
        thread::spawn(move || {
            while send_ping(&pinging) {
                thread::sleep(PING_INTERVAL);
            }
            client.discard(&pinging);
        });
        Ok(connection)
    }

    /// Drops a connection, so that its waiting calls fail and the next call opens another.
    fn discard(&self, connection: &Arc<Connection>) {
        connection.waiting.lock().unwrap().take();
        let _ = connection
            .writer
            .lock()
            .unwrap()
            .shutdown(std::net::Shutdown::Both);
        let mut current = self.shared.connection.lock().unwrap();
        if current
            .as_ref()
            .is_some_and(|present| Arc::ptr_eq(present, connection))
        {
            *current = None;
        }
    }

    fn not_sent(&self, reason: &str) -> CallError {
        CallError::NotSent {
            host: self.shared.remote_host.clone(),
            reason: reason.to_owned(),
        }
    }

    fn no_reply(&self, reason: &str) -> CallError {
        CallError::NoReply {
            host: self.shared.remote_host.clone(),
            reason: reason.to_owned(),
        }
    }
}

/// Tells whether the connection is open and the ping was written.
fn send_ping(connection: &Connection) -> bool {
    if connection.waiting.lock().unwrap().is_none() {
        return false;
    }
    write_frame(&mut *connection.writer.lock().unwrap(), &Frame::Ping).is_ok()
}

/// Hands replies to their calls until the connection ends; returns why it ended.
fn read_replies(mut stream: TcpStream, connection: &Connection) -> io::Error {
    loop {
        match read_frame(&mut stream) {
            Ok(Frame::Reply { call_id, reply }) => {
                let mut waiting = connection.waiting.lock().unwrap();
                let sender = waiting
                    .as_mut()
                    .and_then(|waiting| waiting.swap_remove(&call_id));
                if let Some(sender) = sender {
                    let _ = sender.send(reply);
                }
            }
            Ok(Frame::Pong) => {}
            Ok(_) => return io::Error::other("unexpected frame on an opened connection"),
            Err(error) => return error,
        }
    }
}
