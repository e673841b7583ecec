//! HTTP/1.1 server with one thread per connection and a timeout for every phase of a connection.
//!
//! `hyper` parses and writes the protocol. The connection's thread waits for its socket with
//! `poll`, so that each phase (idle, receiving, sending) has a deadline. The crate `astra`, which
//! also wraps `hyper`'s parser, offers no header-read timeout, no refusal at its connection limit
//! and no shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::body::{BodyError, receive_body, refuse_body};
use super::body_budget::{self, BodyBudget, Refusal};
use super::connections::{OpenConnection, OpenConnections};
use super::message::{Request, Response};
use crate::verdict::{ErrorCode, RequestError};

/// Longest wait of a connection's thread before it checks the shutdown flag.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Stack size of a connection's thread. A small stack suffices, since handlers do not recurse.
const CONNECTION_STACK_BYTES: usize = 512 * 1024;
/// Timeout for writing the refusal of a connection above the limit.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Published time between requests of a connection. A connection that is idle for longer makes room
/// at the connection limit; the idle timeout is longer, for clients that reuse theirs late.
const PUBLISHED_IDLE_TIME: Duration = Duration::from_secs(15);
/// Published time for a header section, after which its connection makes room at the limit.
const PUBLISHED_HEADER_TIME: Duration = Duration::from_secs(3);

/// Computes the response to a request. A handler may block: it runs in the connection's thread.
pub type Handler = Arc<dyn Fn(Request) -> Response + Send + Sync>;

/// Timeouts and limits of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum number of open connections. Further ones take the place of one that is past the
    /// published times, or are refused with status 503.
    pub max_connections: usize,
    /// Time for a request to arrive completely, counted from its first byte.
    pub receive_timeout: Duration,
    /// Time for the client to read a response.
    pub send_timeout: Duration,
    /// Time for which a connection may stay open between requests.
    pub idle_timeout: Duration,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest header section of a request in bytes; at least 8 KiB are accepted.
    pub max_header_bytes: usize,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            receive_timeout: Duration::from_secs(10),
            send_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(60),
            max_body_bytes: 1024 * 1024,
            max_header_bytes: 16 * 1024,
        }
    }
}

/// A running server. Dropping it stops accepting connections and lets requests in flight finish.
pub struct Server {
    local_address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    options: ServerOptions,
    budget: Arc<BodyBudget>,
    handler: Handler,
    stopping: AtomicBool,
    /// Whether the address is still bound.
    listening: AtomicBool,
    connections: Arc<OpenConnections>,
}

impl Server {
    /// Binds the address and serves connections in background threads.
    ///
    /// # Errors
    ///
    /// The error of binding the address or of starting the accepting thread.
    pub fn start(
        address: SocketAddr,
        options: ServerOptions,
        handler: Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let local_address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            connections: Arc::new(OpenConnections::new(options.max_connections)),
            options,
            budget: Arc::clone(body_budget::process()),
            handler,
            stopping: AtomicBool::new(false),
            listening: AtomicBool::new(true),
        });
        let accepting = Arc::clone(&shared);
        thread::Builder::new()
            .name("http-accept".to_owned())
            .spawn(move || {
                accept_connections(&listener, &accepting);
                drop(listener);
                accepting.listening.store(false, Ordering::Release);
            })?;
        Ok(Self {
            local_address,
            shared,
        })
    }

    /// Address on which the server listens, with the port chosen by the system if 0 was requested.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.connections.count()
    }

    /// Stops accepting connections, lets requests in flight finish and closes idle connections.
    /// Returns whether all connections were closed and the address was released by the deadline.
    pub fn shutdown(&self, deadline: Instant) -> bool {
        self.stop_accepting();
        // The address stays bound until the accepting thread has run, which may be late on a busy
        // machine.
        while self.open_connections() > 0 || self.shared.listening.load(Ordering::Acquire) {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    fn stop_accepting(&self) {
        if self.shared.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        // Wakes the accepting thread, which checks the flag after each accept.
        let _ = TcpStream::connect_timeout(&self.local_address, Duration::from_secs(1));
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop_accepting();
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
                log::warn!("cannot accept an HTTP connection: {error}");
                thread::sleep(ACCEPT_RETRY_PAUSE);
                continue;
            }
        };
        let stream = Arc::new(stream);
        let Some(place) = shared.connections.admit(&stream) else {
            refuse_connection(&stream);
            continue;
        };
        let connection = Arc::clone(shared);
        let spawned = thread::Builder::new()
            .name("http-connection".to_owned())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || serve_connection(stream, place, &connection));
        if let Err(error) = spawned {
            log::warn!("cannot start a connection thread: {error}");
        }
    }
}

/// Responds with status 503 without reading the request, which therefore did not run.
fn refuse_connection(mut stream: &TcpStream) {
    let error = RequestError::did_not_run(ErrorCode::Overloaded, "too many open connections");
    let response = Response::error(&error.retry_after_ms(1000), "");
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
         jujubewinch-verdict: did_not_run\r\nretry-after: 1\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        response.body.len()
    );
    let _ = stream.set_write_timeout(Some(REFUSAL_WRITE_TIMEOUT));
    let _ = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(&response.body));
    let _ = stream.shutdown(Shutdown::Write);
}

/// Phase of a connection, which determines its timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Receiving,
    Handling,
    Sending,
}

/// Socket state shared by the connection future and the polling loop.
struct SocketState {
    /// Shared with the body budget, which shuts it down if a slow body has to make room.
    stream: Arc<TcpStream>,
    place: OpenConnection,
    phase: Cell<Phase>,
    /// When the current phase times out.
    deadline: Cell<Instant>,
    /// When the body that is being received is too slow; `None` outside of bodies.
    body_deadline: Cell<Option<Instant>>,
    /// Whether `hyper` has data to write for which the socket was not ready.
    wants_write: Cell<bool>,
    options: ServerOptions,
}

impl SocketState {
    /// Enters a phase and starts its timeout.
    fn enter(&self, phase: Phase) {
        let timeout = match phase {
            Phase::Idle => self.options.idle_timeout,
            Phase::Receiving => self.options.receive_timeout,
            Phase::Handling | Phase::Sending => self.options.send_timeout,
        };
        self.place.set_overdue_after(match phase {
            Phase::Idle => Some(PUBLISHED_IDLE_TIME),
            Phase::Receiving => Some(PUBLISHED_HEADER_TIME),
            Phase::Handling | Phase::Sending => None,
        });
        self.phase.set(phase);
        self.body_deadline.set(None);
        self.deadline.set(Instant::now() + timeout);
    }
}

/// Non-blocking socket for `hyper`. [`drive`] waits for its readiness.
struct Socket(Rc<SocketState>);

impl hyper::rt::Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let state = &self.0;
        let mut chunk = [0_u8; 8 * 1024];
        let wanted = chunk.len().min(buffer.remaining());
        match (&*state.stream).read(&mut chunk[..wanted]) {
            Ok(count) => {
                if count > 0 && matches!(state.phase.get(), Phase::Idle | Phase::Sending) {
                    state.enter(Phase::Receiving);
                }
                buffer.put_slice(&chunk[..count]);
                Poll::Ready(Ok(()))
            }
            Err(error) if is_retryable(&error) => {
                // A further request may have begun while the response is sent; its body keeps its
                // deadline.
                let receives_body = state.body_deadline.get().is_some();
                if state.phase.get() == Phase::Sending && !state.wants_write.get() && !receives_body
                {
                    state.enter(Phase::Idle);
                }
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl hyper::rt::Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match (&*self.0.stream).write(bytes) {
            Ok(count) => {
                self.0.wants_write.set(false);
                Poll::Ready(Ok(count))
            }
            Err(error) if is_retryable(&error) => {
                self.0.wants_write.set(true);
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.stream.shutdown(Shutdown::Write))
    }
}

fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

fn serve_connection(stream: Arc<TcpStream>, place: OpenConnection, shared: &Arc<Shared>) {
    let peer_address = stream.peer_addr().ok();
    if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
        return;
    }
    let state = Rc::new(SocketState {
        stream,
        place,
        phase: Cell::new(Phase::Idle),
        deadline: Cell::new(Instant::now()),
        body_deadline: Cell::new(None),
        wants_write: Cell::new(false),
        options: shared.options.clone(),
    });
    state.enter(Phase::Idle);
    let service_state = Rc::clone(&state);
    let service = service_fn(move |incoming: hyper::Request<Incoming>| {
        let state = Rc::clone(&service_state);
        let shared = Arc::clone(shared);
        async move { Ok::<_, Infallible>(respond(incoming, &state, &shared, peer_address).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .half_close(true)
        .max_buf_size(shared.options.max_header_bytes.max(8 * 1024));
    let connection = pin!(builder.serve_connection(Socket(Rc::clone(&state)), service));
    drive(connection, &state, shared);
}

/// Polls the connection whenever its socket is ready, until the connection ends or its phase times
/// out. During a shutdown, returns once the connection is idle.
fn drive<S>(
    mut connection: Pin<&mut http1::Connection<Socket, S>>,
    state: &SocketState,
    shared: &Shared,
) where
    S: hyper::service::HttpService<Incoming, ResBody = Full<Bytes>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut context = Context::from_waker(Waker::noop());
    loop {
        match connection.as_mut().poll(&mut context) {
            Poll::Ready(Ok(())) => return,
            Poll::Ready(Err(error)) => {
                log::debug!("HTTP connection ended: {error}");
                return;
            }
            Poll::Pending => {}
        }
        let now = Instant::now();
        let body_deadline = state.body_deadline.get();
        if body_deadline.is_some_and(|at| now >= at) {
            body_budget::record_refusal(Refusal::Timeout);
            return;
        }
        let phase_deadline = state.deadline.get();
        let deadline = body_deadline.map_or(phase_deadline, |at| at.min(phase_deadline));
        if now >= phase_deadline {
            log::debug!(
                "HTTP connection closed in phase {:?} at its timeout",
                state.phase.get()
            );
            return;
        }
        if shared.stopping.load(Ordering::Acquire) {
            connection.as_mut().graceful_shutdown();
            if state.phase.get() == Phase::Idle {
                return;
            }
        }
        let wait = deadline
            .saturating_duration_since(now)
            .min(SHUTDOWN_CHECK_INTERVAL);
        let mut flags = PollFlags::IN;
        if state.wants_write.get() {
            flags = PollFlags::OUT;
        }
        let timeout = Timespec::try_from(wait).ok();
        let mut descriptors = [PollFd::new(&*state.stream, flags)];
        match poll(&mut descriptors, timeout.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(_) => return,
        }
    }
}

/// Reads the body of a request, calls the handler and updates the phase of the connection.
async fn respond(
    incoming: hyper::Request<Incoming>,
    state: &SocketState,
    shared: &Shared,
    peer_address: Option<SocketAddr>,
) -> hyper::Response<Full<Bytes>> {
    // The budget of bodies closes slow ones.
    state.place.set_overdue_after(None);
    let (parts, body) = incoming.into_parts();
    let limit = shared.options.max_body_bytes;
    let address = peer_address.map(|address| address.ip());
    let open = || {
        let stream = Arc::clone(&state.stream);
        shared.budget.open(address, Some(stream))
    };
    let set_deadline = |at| state.body_deadline.set(Some(at));
    let response = match receive_body(body, limit, open, set_deadline).await {
        // The reservation lasts until the handler has returned, since the handler holds the body.
        Ok((body, _reservation)) => {
            state.enter(Phase::Handling);
            let request = Request {
                method: parts.method,
                path: parts.uri.path().to_owned(),
                query: parse_query(parts.uri.query().unwrap_or_default()),
                headers: parts.headers,
                body,
                peer_address,
            };
            (shared.handler)(request)
        }
        Err(BodyError::Refused(refusal)) => {
            // A body that was closed to make room was counted when it was closed.
            if refusal != Refusal::Evicted {
                body_budget::record_refusal(refusal);
            }
            refuse_body(refusal, limit)
        }
        Err(BodyError::Unreadable(error)) => {
            let message = format!("the body could not be read: {error}");
            Response::error(
                &RequestError::did_not_run(ErrorCode::BadRequest, message),
                "",
            )
            .header("connection", "close")
        }
    };
    state.enter(Phase::Sending);
    into_hyper(response)
}

fn into_hyper(response: Response) -> hyper::Response<Full<Bytes>> {
    let mut builder = hyper::Response::builder().status(response.status);
    for (name, value) in &response.headers {
        builder = builder.header(name.as_str(), value.as_str());
    }
    builder
        .body(Full::new(Bytes::from(response.body)))
        .unwrap_or_else(|error| {
            log::error!("a handler produced an invalid response: {error}");
            let mut fallback = hyper::Response::new(Full::new(Bytes::new()));
            *fallback.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
            fallback
        })
}

fn parse_query(query: &str) -> indexmap::IndexMap<String, String> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(name, value)| (decode_percent(name), decode_percent(value)))
        .collect()
}

/// Decodes `%XX` sequences and `+`. Invalid sequences are left unchanged.
pub fn decode_percent(text: &str) -> String {
    percent_encoding::percent_decode_str(&text.replace('+', " "))
        .decode_utf8_lossy()
        .into_owned()
}
