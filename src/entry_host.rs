//! An entry host: assembles all control roles from the settings.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::gateway::api::Gateway;
use crate::gateway::routing::{RemoteHost, Router};
use crate::gateway::throttle::Throttle;
use crate::http::{Client, ClientOptions, Request, Response, Server, ServerOptions};
use crate::ids::HostId;
use crate::options::Settings;
use crate::peer::{PeerClient, PeerServer};
use crate::placer::journal::Journal;
use crate::placer::{Placer, PlacerOptions};
use crate::protocol::caller::Submission;
use crate::protocol::peer::{ForwardedSubmission, PeerReply, PeerRequest};
use crate::telemetry::metrics::metrics;

/// A running entry host.
pub struct EntryHost {
    settings: Settings,
    gateway: Arc<Gateway>,
    callers: Server,
    admin: Server,
    peers: PeerServer,
}

impl EntryHost {
    /// Starts all roles and listeners.
    ///
    /// # Errors
    ///
    /// The error of binding a listener.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let this = settings.this_host().clone();
        let placer = Placer::new(PlacerOptions {
            data_centre: this.data_centre.clone(),
            limits: settings.limits.clone(),
            timing: settings.timing.clone(),
            request_policy: settings.scheduling.request_policy,
            clock: Clock::system(),
            journal: placement_journal(&settings),
            client: Client::new(ClientOptions::default()),
        });
        let gateway = Arc::new(Gateway {
            router: Router {
                data_centre: this.data_centre.clone(),
                data_centres: settings.data_centres(),
                local: Some(Arc::clone(&placer)),
                remote: remote_hosts(&settings),
            },
            timing: settings.timing.clone(),
            throttle: Throttle::default(),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        });
        let peer_placer = Arc::clone(&placer);
        let peers = PeerServer::start(
            settings.listeners.peers,
            Arc::new(move |_host: HostId, request| handle_peer(&peer_placer, request)),
        )?;
        let caller_gateway = Arc::clone(&gateway);
        let callers = Server::start(
            settings.listeners.callers,
            ServerOptions {
                max_connections: settings.limits.max_caller_connections,
                max_body_bytes: settings.limits.max_payload_bytes,
                max_header_bytes: settings.limits.max_header_bytes,
                ..ServerOptions::default()
            },
            Arc::new(move |request| caller_gateway.handle(&request)),
        )?;
        let admin_gateway = Arc::clone(&gateway);
        let admin = Server::start(
            settings.listeners.admin,
            ServerOptions {
                max_connections: 64,
                ..ServerOptions::default()
            },
            Arc::new(move |request| handle_admin(&admin_gateway, &request)),
        )?;
        Ok(Self {
            settings,
            gateway,
            callers,
            admin,
            peers,
        })
    }

    /// Address of the caller listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Address of the administration listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.local_address()
    }

    /// Address of the peer listener.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.local_address()
    }

    /// Fails readiness, lets requests finish, and closes the listeners. Returns whether all
    /// requests in flight finished in time.
    pub fn shutdown(&self) -> bool {
        let timing = &self.settings.timing;
        self.gateway.draining.store(true, Ordering::Release);
        // The balancer needs a moment to see that `/ready` fails.
        thread::sleep(Duration::from_millis(timing.drain_delay_ms));
        let deadline = Instant::now() + Duration::from_millis(timing.drain_timeout_ms);
        let finished = self.callers.shutdown(deadline);
        let idle = self
            .gateway
            .router
            .local
            .as_ref()
            .is_none_or(|placer| placer.wait_until_idle(deadline));
        self.admin.shutdown(Instant::now() + Duration::from_secs(1));
        finished && idle
    }
}

/// The placer is the first host of the data centre in the settings; the others forward to it.
fn placement_journal(settings: &Settings) -> Journal {
    let this = settings.this_host();
    let first = settings
        .cell
        .hosts
        .iter()
        .find(|host| host.data_centre == this.data_centre);
    let journal = Journal::in_memory(Clock::system().unix_seconds());
    if first.is_some_and(|first| first.id == this.id) {
        return journal;
    }
    Journal {
        epoch: Arc::new(|| None),
        ..journal
    }
}

fn remote_hosts(settings: &Settings) -> IndexMap<String, Vec<RemoteHost>> {
    let mut remote: IndexMap<String, Vec<RemoteHost>> = IndexMap::new();
    for host in &settings.cell.hosts {
        if host.id == settings.host.id {
            continue;
        }
        let client = PeerClient::new(settings.host.id.clone(), host.id.clone(), host.peers);
        let entry = RemoteHost {
            id: host.id.clone(),
            client,
        };
        remote
            .entry(host.data_centre.clone())
            .or_default()
            .push(entry);
    }
    remote
}

fn handle_peer(placer: &Arc<Placer>, request: PeerRequest) -> PeerReply {
    let data_centre = match &request {
        PeerRequest::Submit(forwarded) => &forwarded.data_centre,
        PeerRequest::Cancel { data_centre, .. } | PeerRequest::Query { data_centre, .. } => {
            data_centre
        }
        PeerRequest::Announce(announcement) => &announcement.data_centre,
        PeerRequest::Replication { group, .. } => {
            return PeerReply::Refused(format!("no replicated log {group}"));
        }
        PeerRequest::Extension { name, .. } => {
            return PeerReply::Refused(format!("no extension {name}"));
        }
    };
    if placer.data_centre() != data_centre || !placer.is_leading() {
        return PeerReply::NotPlacer { placer: None };
    }
    match request {
        PeerRequest::Submit(forwarded) => PeerReply::Outcome(placer.submit(&submission(forwarded))),
        PeerRequest::Cancel { key, .. } => PeerReply::Cancelled(Ok(placer.cancel(&key))),
        PeerRequest::Query { key, .. } => PeerReply::Outcome(placer.query(&key)),
        PeerRequest::Announce(announcement) => PeerReply::Announced(placer.announce(announcement)),
        PeerRequest::Replication { .. } | PeerRequest::Extension { .. } => {
            PeerReply::Refused("not a request to the placer".to_owned())
        }
    }
}

fn submission(forwarded: ForwardedSubmission) -> Submission {
    Submission {
        key: forwarded.key,
        member: forwarded.member,
        caller: forwarded.caller,
        service: forwarded.service,
        idempotent: forwarded.idempotent,
        urgency: forwarded.urgency,
        deadline: Instant::now() + Duration::from_millis(forwarded.remaining_ms),
        payload: forwarded.payload,
    }
}

fn handle_admin(gateway: &Arc<Gateway>, request: &Request) -> Response {
    match request.segments().as_slice() {
        ["live"] | ["ready"] => gateway.handle(request),
        ["metrics"] => Response::text(200, metrics().render()),
        _ => Response::text(404, "unknown path\n"),
    }
}
