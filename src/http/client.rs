//! Blocking HTTP client whose calls end at a deadline.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use thiserror::Error;
use ureq::Agent;
use ureq::config::Config;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

use super::transport::ResettingConnector;

/// Smallest accepted size of a buffer of a connection. Below 10 KiB the library resizes the buffer
/// while it holds data.
pub const MIN_BUFFER_BYTES: usize = 16 * 1024;

/// Timeouts and limits of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Longest idle time after which a pooled connection is reused. The peer of an older one may
    /// have disappeared without closing it.
    pub max_idle_age: Duration,
    /// Maximum number of idle connections kept per host and port.
    pub max_idle_connections_per_host: usize,
    /// Largest response body in bytes.
    pub max_body_bytes: u64,
    /// Size of each of the two buffers of a connection in bytes, at least [`MIN_BUFFER_BYTES`]. The
    /// whole buffers stay resident while the connection is open. The header section of a response
    /// has to fit into one; bodies may be larger.
    pub buffer_bytes: usize,
    /// Bounds how late a request can arrive whose caller gave up, also while the process is paused.
    /// If set, the kernel gives up a connection whose peer has not acknowledged sent bytes for this
    /// time, and connections are closed with a reset, which discards bytes that have not arrived.
    /// If `None`, the kernel goes on sending them until its own limits, also after the close.
    pub unacknowledged_timeout: Option<Duration>,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle_age: Duration::from_secs(2),
            max_idle_connections_per_host: 16,
            max_body_bytes: 4 * 1024 * 1024,
            buffer_bytes: 128 * 1024,
            unacknowledged_timeout: None,
        }
    }
}

/// A failed exchange.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection was established, so the request was not sent.
    #[error("cannot connect to {url}: {reason}")]
    NotSent {
        /// URL of the request.
        url: String,
        /// Error of the HTTP library, or why the request was not attempted.
        reason: String,
        /// Whether the connection was refused because no process listens at the address.
        port_closed: bool,
    },
    /// The body of the response exceeds [`ClientOptions::max_body_bytes`].
    #[error("the response from {url} is too large: {reason}")]
    TooLarge {
        /// URL of the request.
        url: String,
        /// Error of the HTTP library.
        reason: String,
    },
    /// The request may have been sent, but no complete response arrived.
    #[error("no complete response from {url}: {reason}")]
    Interrupted {
        /// URL of the request.
        url: String,
        /// Error of the HTTP library.
        reason: String,
    },
}

/// A response that arrived completely.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields that are valid text, with names in lower case.
    pub headers: IndexMap<String, String>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Returns the value of a header field. `name` has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// A request to be sent by [`Client::send`].
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: hyper::Method,
    /// Absolute URL with an IP address as host.
    pub url: String,
    /// Names and values of the header fields.
    pub headers: Vec<(String, String)>,
    /// Body; empty for a request without one.
    pub body: Vec<u8>,
    /// Time by which the response must have arrived completely.
    pub deadline: Instant,
    /// Whether to open a new connection, which is closed after the response.
    pub fresh_connection: bool,
}

impl ClientRequest {
    /// Returns a request without headers and body, which may use a pooled connection.
    pub fn new(method: hyper::Method, url: impl Into<String>, deadline: Instant) -> Self {
        Self {
            method,
            url: url.into(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline,
            fresh_connection: false,
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// HTTP client with pooled connections. Clones share the pools.
#[derive(Clone)]
pub struct Client {
    pools: Arc<Mutex<IndexMap<String, Pool>>>,
    options: ClientOptions,
}

/// Idle connections to one host and port. An agent compares each request with all its connections,
/// so that the cost of one agent for all hosts would grow with the number of hosts.
struct Pool {
    agent: Agent,
    /// When all connections of the pool are too old to be reused.
    expires_at: Instant,
}

impl Client {
    /// Returns a client without open connections.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            pools: Arc::default(),
            options,
        }
    }

    /// Returns the agent that pools the connections to the host and port of a URL. Drops expired
    /// pools when it creates one.
    fn pooled_agent(&self, url: &str) -> Agent {
        let authority = url.split('/').nth(2).unwrap_or_default();
        let now = Instant::now();
        let expires_at = now + self.options.max_idle_age;
        let mut pools = self.pools.lock().unwrap();
        if let Some(pool) = pools.get_mut(authority) {
            pool.expires_at = expires_at;
            return pool.agent.clone();
        }
        pools.retain(|_, pool| now < pool.expires_at);
        let agent = agent(&self.options, self.options.max_idle_connections_per_host);
        let pool = Pool {
            agent: agent.clone(),
            expires_at,
        };
        pools.insert(authority.to_owned(), pool);
        agent
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotSent`] when no connection was established,
    /// [`ClientError::TooLarge`] for a body above the limit, otherwise
    /// [`ClientError::Interrupted`], also when the body was cut off.
    pub fn send(&self, request: ClientRequest) -> Result<ClientResponse, ClientError> {
        let agent = if request.fresh_connection {
            agent(&self.options, 0)
        } else {
            self.pooled_agent(&request.url)
        };
        let url = request.url.clone();
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ClientError::NotSent {
                url,
                reason: "the deadline has passed".to_owned(),
                port_closed: false,
            });
        }
        let mut builder = hyper::Request::builder()
            .method(request.method)
            .uri(&request.url);
        for (name, value) in &request.headers {
            builder = builder.header(name.as_str(), value.as_str());
        }
        let message = builder
            .body(request.body)
            .map_err(|error| ClientError::NotSent {
                url: url.clone(),
                reason: error.to_string(),
                port_closed: false,
            })?;
        let message = agent
            .configure_request(message)
            .timeout_global(Some(remaining))
            .build();
        let mut response = agent.run(message).map_err(|error| classify(&url, &error))?;
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect();
        let body = response
            .body_mut()
            .with_config()
            .limit(self.options.max_body_bytes)
            .read_to_vec()
            .map_err(|error| body_error(url, &error))?;
        Ok(ClientResponse {
            status,
            headers,
            body,
        })
    }
}

fn agent(options: &ClientOptions, max_idle_connections_per_host: usize) -> Agent {
    let buffer_bytes = options.buffer_bytes.max(MIN_BUFFER_BYTES);
    let config = Agent::config_builder()
        .input_buffer_size(buffer_bytes)
        .output_buffer_size(buffer_bytes)
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(options.connect_timeout))
        .max_idle_age(options.max_idle_age)
        .max_idle_connections(max_idle_connections_per_host)
        .max_idle_connections_per_host(max_idle_connections_per_host)
        .build();
    match options.unacknowledged_timeout {
        Some(unacknowledged_timeout) => {
            let connector = ResettingConnector {
                unacknowledged_timeout,
            };
            Agent::with_parts(config, connector, AddressResolver)
        }
        None => Agent::with_parts(config, DefaultConnector::new(), AddressResolver),
    }
}

/// Resolves only hosts that are IP addresses, since no others are used. The library's resolver
/// starts a thread for each request with a timeout, even if the connection is pooled.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &hyper::Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|authority| {
            let literal = authority.host().trim_matches(['[', ']']);
            let ip: IpAddr = literal.parse().ok()?;
            if authority.as_str() == authority.host() {
                return Some(SocketAddr::new(ip, 80));
            }
            // The port of the library is absent if it is out of range.
            Some(SocketAddr::new(ip, authority.port_u16()?))
        });
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}

fn body_error(url: String, error: &ureq::Error) -> ClientError {
    let reason = error.to_string();
    match error {
        ureq::Error::BodyExceedsLimit(_) => ClientError::TooLarge { url, reason },
        _ => ClientError::Interrupted { url, reason },
    }
}

/// Maps errors to [`ClientError::NotSent`] only if the request was certainly not sent.
fn classify(url: &str, error: &ureq::Error) -> ClientError {
    let (url, reason) = (url.to_owned(), error.to_string());
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            ClientError::NotSent {
                url,
                reason,
                port_closed: false,
            }
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            ClientError::NotSent {
                url,
                reason,
                port_closed: true,
            }
        }
        _ => ClientError::Interrupted { url, reason },
    }
}
