//! Multiplexed calls over one connection to another entry host.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indexmap::IndexMap;
use opentelemetry::KeyValue;
use thiserror::Error;

use super::channel::{FrameReader, FrameWriter};
use super::frame::Frame;
use super::handshake;
use super::keys::ClusterKeys;
use super::link_conditions::LinkConditions;
use super::{
    BUSY_PING_INTERVAL, CONNECT_TIMEOUT, IDLE_PING_INTERVAL, SILENCE_TIMEOUT, WRITE_TIMEOUT,
};
use crate::ids::HostId;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::telemetry::metrics::metrics;

/// Interval at which the watch thread checks its connection.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a failed connection attempt during which calls fail at once.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// A failed call.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// The request certainly did not arrive.
    #[error("cannot reach {host}: {reason}")]
    NotSent {
        /// Host that was called.
        host: HostId,
        /// What failed.
        reason: String,
    },
    /// The request may have arrived, but no reply was received.
    #[error("no reply from {host}: {reason}")]
    NoReply {
        /// Host that was called.
        host: HostId,
        /// What failed.
        reason: String,
    },
}

/// Configuration of a [`PeerClient`].
#[derive(Clone, Debug)]
pub struct PeerClientOptions {
    /// Identifier of this host, which it states in the handshake.
    pub local_host: HostId,
    /// Identifier of the host to call.
    pub remote_host: HostId,
    /// Address of the peer listener of the host to call.
    pub address: SocketAddr,
    /// Cluster keys for the handshake.
    pub keys: ClusterKeys,
    /// Value of the `scope` label of the metric of control bytes: `data_centre`, `region` or
    /// `cross_region`.
    pub scope: String,
    /// Simulated conditions of the links, for tests and measurements; `None` for real links.
    pub links: Option<Arc<LinkConditions>>,
}

/// A client for calls to one other host. Clones share the connection.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    options: PeerClientOptions,
    next_call_id: AtomicU64,
    state: Mutex<ConnectionState>,
}

enum ConnectionState {
    Closed,
    /// The last connection attempt failed for this reason; calls fail until this time.
    Failed(Instant, String),
    Open(Arc<Connection>),
}

struct Connection {
    writer: Mutex<FrameWriter<TcpStream>>,
    /// Calls that wait for a reply, by call identifier; `None` once the connection has ended.
    pending_calls: Mutex<Option<IndexMap<u64, Sender<PeerReply>>>>,
    activity: Mutex<Activity>,
}

/// Times that decide when the connection is pinged or considered dead.
struct Activity {
    last_received_at: Instant,
    /// Time of the last frame that was sent, which the accepting end waits for a limited time.
    last_sent_at: Instant,
    /// Time of the ping since the last received frame; `None` when none was sent.
    unanswered_ping_at: Option<Instant>,
}

impl PeerClient {
    /// Creates a client, which connects on its first call.
    pub fn new(options: PeerClientOptions) -> Self {
        let state = Mutex::new(ConnectionState::Closed);
        Self {
            shared: Arc::new(Shared {
                options,
                next_call_id: AtomicU64::new(1),
                state,
            }),
        }
    }

    /// Returns the identifier of the host to call.
    pub fn remote_host(&self) -> &HostId {
        &self.shared.options.remote_host
    }

    /// Sends a request and waits for its reply until the deadline.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] when the request certainly did not arrive, otherwise
    /// [`CallError::NoReply`].
    pub fn call(&self, request: PeerRequest, deadline: Instant) -> Result<PeerReply, CallError> {
        let call_id = self.shared.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        self.simulate_request(deadline)?;
        let mut connection = self.connection()?;
        if !connection.expect_reply(call_id, &sender) {
            // The connection ended after it was looked up.
            self.discard(&connection);
            connection = self.connection()?;
            if !connection.expect_reply(call_id, &sender) {
                return Err(self.not_sent("the connection has ended"));
            }
        }
        drop(sender);
        let sent = self.send(&connection, call_id, request, deadline);
        let reply = sent.and_then(|()| self.wait_for_reply(&receiver, deadline));
        connection.remove_call(call_id);
        self.simulate_reply(reply, deadline)
    }

    /// Writes a request, unless its deadline has passed while the connection was opened or earlier
    /// writes blocked: the caller no longer waits, and may have sent the request elsewhere.
    fn send(
        &self,
        connection: &Arc<Connection>,
        call_id: u64,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<(), CallError> {
        let kind = request.kind();
        let mut writer = connection.writer.lock().unwrap();
        if Instant::now() >= deadline {
            return Err(self.not_sent("the deadline passed before the call was sent"));
        }
        let written = writer.write(&Frame::Request { call_id, request });
        drop(writer);
        match written {
            Ok(bytes) => {
                connection.activity.lock().unwrap().last_sent_at = Instant::now();
                self.count_bytes(kind, bytes);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                Err(self.not_sent(&error.to_string()))
            }
            Err(error) => {
                self.discard(connection);
                // The write may time out after the system has accepted all bytes, so that the
                // request may arrive.
                Err(self.no_reply(&error.to_string()))
            }
        }
    }

    /// Simulates the link to the remote host: delays the request, or fails it while the link is
    /// cut.
    fn simulate_request(&self, deadline: Instant) -> Result<(), CallError> {
        let PeerClientOptions {
            links,
            local_host,
            remote_host,
            ..
        } = &self.shared.options;
        let Some(links) = links else {
            return Ok(());
        };
        links.wait_one_way_delay(local_host, remote_host, deadline);
        if links.is_cut(local_host, remote_host) {
            return Err(self.not_sent("the link is cut"));
        }
        Ok(())
    }

    /// Simulates the link from the remote host: delays the reply, or drops it if the link was cut
    /// in the meantime.
    fn simulate_reply(
        &self,
        reply: Result<PeerReply, CallError>,
        deadline: Instant,
    ) -> Result<PeerReply, CallError> {
        let PeerClientOptions {
            links,
            local_host,
            remote_host,
            ..
        } = &self.shared.options;
        let Some(links) = links else {
            return reply;
        };
        links.wait_one_way_delay(remote_host, local_host, deadline);
        if links.is_cut(remote_host, local_host) {
            return Err(self.no_reply("the link is cut"));
        }
        reply
    }

    fn wait_for_reply(
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
            .and_then(|reply| match reply {
                PeerReply::Unanswered => Err(self.no_reply("the call ended without a reply")),
                reply => Ok(reply),
            })
    }

    fn connection(&self) -> Result<Arc<Connection>, CallError> {
        let mut state = self.shared.state.lock().unwrap();
        match &*state {
            ConnectionState::Open(connection) => return Ok(Arc::clone(connection)),
            ConnectionState::Failed(until, reason) if Instant::now() < *until => {
                return Err(self.not_sent(reason));
            }
            ConnectionState::Closed | ConnectionState::Failed(..) => {}
        }
        match self.connect() {
            Ok(connection) => {
                *state = ConnectionState::Open(Arc::clone(&connection));
                Ok(connection)
            }
            Err(error) => {
                let reason = error.to_string();
                *state = ConnectionState::Failed(Instant::now() + RECONNECT_PAUSE, reason.clone());
                Err(self.not_sent(&reason))
            }
        }
    }

    fn connect(&self) -> io::Result<Arc<Connection>> {
        let options = &self.shared.options;
        let mut stream = TcpStream::connect_timeout(&options.address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(CONNECT_TIMEOUT))?;
        let session = handshake::open(&mut stream, &options.local_host, &options.keys)?;
        stream.set_read_timeout(None)?;
        let reader = FrameReader::new(stream.try_clone()?, session.server_secret);
        let connection = Arc::new(Connection {
            writer: Mutex::new(FrameWriter::new(stream, session.client_secret)),
            pending_calls: Mutex::new(Some(IndexMap::new())),
            activity: Mutex::new(Activity {
                last_received_at: Instant::now(),
                last_sent_at: Instant::now(),
                unanswered_ping_at: None,
            }),
        });
        let (client, reading) = (self.clone(), Arc::clone(&connection));
        thread::Builder::new()
            .name("peer-reader".to_owned())
            .spawn(move || {
                let error = reading.read_replies(reader, &client.shared.options);
                log::debug!("connection to {} ended: {error}", client.remote_host());
                client.discard(&reading);
            })?;
        let (client, watched) = (self.clone(), Arc::clone(&connection));
        thread::Builder::new()
            .name("peer-watch".to_owned())
            .spawn(move || {
                while client.keep_alive(&watched) {
                    thread::sleep(WATCH_INTERVAL);
                }
                client.discard(&watched);
            })?;
        Ok(connection)
    }

    /// Sends a ping when no frame was received or sent for an interval. Returns whether the
    /// connection is still usable.
    fn keep_alive(&self, connection: &Connection) -> bool {
        let interval = match connection.pending_calls.lock().unwrap().as_ref() {
            None => return false,
            Some(pending_calls) if pending_calls.is_empty() => IDLE_PING_INTERVAL,
            Some(_) => BUSY_PING_INTERVAL,
        };
        let now = Instant::now();
        {
            let mut activity = connection.activity.lock().unwrap();
            if let Some(pinged_at) = activity.unanswered_ping_at {
                return now.duration_since(pinged_at) < SILENCE_TIMEOUT;
            }
            // The accepting end closes a connection on which it receives nothing, also while it is
            // sending replies.
            let has_received = now.duration_since(activity.last_received_at) < interval;
            let has_sent = now.duration_since(activity.last_sent_at) < IDLE_PING_INTERVAL;
            if has_received && has_sent {
                return true;
            }
            activity.unanswered_ping_at = Some(now);
            activity.last_sent_at = now;
        }
        match connection.writer.lock().unwrap().write(&Frame::Ping) {
            Ok(bytes) => {
                self.count_bytes("ping", bytes);
                true
            }
            Err(_) => false,
        }
    }

    /// Closes a connection, so that its pending calls fail and the next call opens a new one.
    fn discard(&self, connection: &Arc<Connection>) {
        connection.pending_calls.lock().unwrap().take();
        let _ = connection
            .writer
            .lock()
            .unwrap()
            .stream()
            .shutdown(Shutdown::Both);
        let mut state = self.shared.state.lock().unwrap();
        if matches!(&*state, ConnectionState::Open(open) if Arc::ptr_eq(open, connection)) {
            *state = ConnectionState::Closed;
        }
    }

    fn count_bytes(&self, kind: &'static str, bytes: usize) {
        let options = &self.shared.options;
        if let Some(links) = &options.links {
            links.count(&options.local_host, &options.remote_host, bytes);
        }
        let scope = KeyValue::new("scope", options.scope.clone());
        metrics()
            .control_bytes
            .add(bytes as u64, &[KeyValue::new("kind", kind), scope]);
    }

    fn not_sent(&self, reason: &str) -> CallError {
        CallError::NotSent {
            host: self.remote_host().clone(),
            reason: reason.to_owned(),
        }
    }

    fn no_reply(&self, reason: &str) -> CallError {
        CallError::NoReply {
            host: self.remote_host().clone(),
            reason: reason.to_owned(),
        }
    }
}

impl Connection {
    /// Registers a pending call. Returns whether the connection is still open.
    fn expect_reply(&self, call_id: u64, sender: &Sender<PeerReply>) -> bool {
        let mut pending_calls = self.pending_calls.lock().unwrap();
        let Some(pending_calls) = pending_calls.as_mut() else {
            return false;
        };
        pending_calls.insert(call_id, sender.clone());
        true
    }

    fn remove_call(&self, call_id: u64) {
        if let Some(pending_calls) = self.pending_calls.lock().unwrap().as_mut() {
            pending_calls.swap_remove(&call_id);
        }
    }

    /// Delivers replies to their calls until the connection ends. Returns the error that ended it.
    fn read_replies(
        &self,
        mut reader: FrameReader<TcpStream>,
        options: &PeerClientOptions,
    ) -> io::Error {
        loop {
            let frame = match reader.read() {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            if let Some(links) = &options.links {
                let bytes = reader.last_frame_bytes();
                links.count(&options.remote_host, &options.local_host, bytes);
            }
            {
                let mut activity = self.activity.lock().unwrap();
                activity.last_received_at = Instant::now();
                activity.unanswered_ping_at = None;
            }
            match frame {
                Frame::Reply { call_id, reply } => {
                    let mut pending_calls = self.pending_calls.lock().unwrap();
                    let sender = pending_calls
                        .as_mut()
                        .and_then(|pending_calls| pending_calls.swap_remove(&call_id));
                    if let Some(sender) = sender {
                        let _ = sender.send(reply);
                    }
                }
                Frame::Pong => {}
                Frame::Ping | Frame::Request { .. } => {
                    return io::Error::other("unexpected frame on an opened connection");
                }
            }
        }
    }
}
