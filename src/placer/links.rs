//! Connections to a runner, limited to the placer's share of those that the runner accepts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::http::{Client, ClientOptions};
use crate::ids::{Incarnation, WorkerId};

/// Maximum idle age of a pooled connection. Runners keep idle connections for longer, but network
/// devices on the path may drop their state earlier.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);

/// Sends one request to a runner and returns its response. Tests replace it to inject faults.
pub type Exchange =
    Arc<dyn Fn(&RunnerLink, ClientRequest) -> Result<ClientResponse, ClientError> + Send + Sync>;

/// Returns an [`Exchange`] over HTTP.
pub fn http_exchange() -> Exchange {
    Arc::new(|link, request| link.client().send(request))
}

/// Connections to one incarnation of a runner, and the limit on concurrent exchanges.
pub struct RunnerLink {
    /// Id of the runner.
    pub worker: WorkerId,
    /// Incarnation that the connections are for.
    pub incarnation: Incarnation,
    /// Address of the runner's HTTP interface.
    pub address: String,
    /// Number of connections that the runner announced to accept.
    connections: u32,
    leaving: AtomicBool,
    client: Mutex<Client>,
    /// Number of exchanges that may begin now. Together with the idle connections of `client` they
    /// never exceed half of `connections`, so that an old and a new placer together stay within
    /// `connections`.
    permits: Mutex<u32>,
    permit_returned: Condvar,
}

impl RunnerLink {
    /// Creates a link without open connections.
    pub fn new(
        worker: WorkerId,
        incarnation: Incarnation,
        address: String,
        connections: u32,
    ) -> Self {
        Self {
            worker,
            incarnation,
            address,
            connections,
            leaving: AtomicBool::new(false),
            client: Mutex::new(new_client(connections)),
            permits: Mutex::new(Self::exchange_limit(connections)),
            permit_returned: Condvar::new(),
        }
    }

    /// Maximum number of concurrent exchanges with a runner that announced the given number of
    /// connections.
    pub fn exchange_limit(connections: u32) -> u32 {
        let half = connections / 2;
        half - idle_limit(connections)
    }

    /// Whether the link was created for this address and number of connections.
    pub fn serves(&self, address: &str, connections: u32) -> bool {
        self.address == address && self.connections == connections
    }

    /// Whether the runner accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records that the runner accepts no new work.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns the client with the pooled connections of this runner.
    pub fn client(&self) -> Client {
        self.client.lock().unwrap().clone()
    }

    /// Performs an exchange within the limit on concurrent exchanges.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and `NotSent` when no exchange was permitted before the deadline.
    pub fn send(
        &self,
        exchange: &Exchange,
        request: ClientRequest,
    ) -> Result<ClientResponse, ClientError> {
        if !self.take_permit(request.deadline) {
            return Err(ClientError::NotSent {
                url: request.url,
                reason: "all connections to the runner are in use".to_owned(),
                port_closed: false,
            });
        }
        let _permit = Permit(self);
        let result = exchange(self, request);
        if let Err(ClientError::Interrupted { .. }) = &result {
            // The other pooled connections may be broken as well, so later exchanges open new ones.
            *self.client.lock().unwrap() = new_client(self.connections);
        }
        result
    }

    fn take_permit(&self, deadline: Instant) -> bool {
        let mut permits = self.permits.lock().unwrap();
        while *permits == 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            permits = self
                .permit_returned
                .wait_timeout(permits, remaining)
                .unwrap()
                .0;
        }
        *permits -= 1;
        true
    }
}

/// Maximum number of idle connections: half of the placer's share.
fn idle_limit(connections: u32) -> u32 {
    connections / 4
}

fn new_client(connections: u32) -> Client {
    Client::new(ClientOptions {
        max_idle_age: MAX_IDLE_AGE,
        max_idle_connections_per_host: idle_limit(connections) as usize,
        ..ClientOptions::default()
    })
}

/// Returns the permit on drop, also when the exchange panics.
struct Permit<'a>(&'a RunnerLink);

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        *self.0.permits.lock().unwrap() += 1;
        self.0.permit_returned.notify_one();
    }
}
