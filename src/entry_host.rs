//! An entry host: assembles all control roles from the settings.

mod administration;
mod placement_log;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::configuration::log::ConfigurationLog;
use crate::gateway::api::Gateway;
use crate::gateway::routing::{RemoteHost, Router};
use crate::http::{Server, ServerOptions};
use crate::ids::HostId;
use crate::options::Settings;
use crate::peer::{PeerClient, PeerClientOptions, PeerServer};
use crate::placer::links::http_exchange;
use crate::placer::{Placer, PlacerOptions};
use crate::protocol::caller::Submission;
use crate::protocol::peer::{ForwardedSubmission, PeerReply, PeerRequest};
use crate::replication::ReplicaStatus;
use placement_log::PlacementLogs;

/// Time for passing the leadership of the placement log on during a shutdown.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry host.
pub struct EntryHost {
    settings: Settings,
    gateway: Arc<Gateway>,
    configuration: Arc<Configuration>,
    callers: Server,
    admin: Server,
    peers: PeerServer,
    placement: Arc<PlacementLogs>,
}

impl EntryHost {
    /// Starts all roles and listeners.
    ///
    /// # Errors
    ///
    /// The error of binding a listener.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let this = settings.this_host().clone();
        let remote = remote_hosts(&settings);
        let (placement, journal) = PlacementLogs::start(&settings, &remote);
        let placement = Arc::new(placement);
        let operator_token = settings.cell.operator_token_sha256;
        let configuration = Configuration::new(operator_token, Clock::system());
        let configuration_log =
            ConfigurationLog::in_memory(Arc::clone(&configuration), this.id.clone());
        let placer = Placer::new(PlacerOptions {
            data_centre: this.data_centre.clone(),
            limits: settings.limits.clone(),
            timing: settings.timing.clone(),
            clock: Clock::system(),
            journal,
            exchange: http_exchange(),
        });
        let gateway = Arc::new(Gateway {
            router: Router {
                data_centre: this.data_centre.clone(),
                data_centres: settings.data_centres(),
                local: Some(Arc::clone(&placer)),
                remote,
            },
            host: this.id.clone(),
            authentication: settings.cell.authentication,
            configuration: Arc::clone(&configuration),
            timing: settings.timing.clone(),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        });
        let (peer_placer, peer_logs) = (Arc::clone(&placer), Arc::clone(&placement));
        let peers = PeerServer::start(
            settings.listeners.peers,
            settings.security.keys(),
            Arc::new(move |host: HostId, request| match request {
                PeerRequest::Replication { group, message } => {
                    peer_logs.handle(&host, &group, &message)
                }
                request => handle_peer(&peer_placer, request),
            }),
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
        let administration =
            administration::start(&settings, &gateway, &configuration, configuration_log);
        let admin = Server::start(
            settings.listeners.admin,
            ServerOptions {
                max_connections: 64,
                ..ServerOptions::default()
            },
            Arc::new(move |request| administration.handle(&request)),
        )?;
        Ok(Self {
            settings,
            gateway,
            configuration,
            callers,
            admin,
            peers,
            placement,
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

    /// The configuration as this host has applied it.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
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
        self.placement.hand_over(Instant::now() + HAND_OVER_TIMEOUT);
        self.placement.stop();
        self.admin.shutdown(Instant::now() + Duration::from_secs(1));
        finished && idle
    }

    /// Ends the host's part in all replicated logs and refuses callers, without draining or
    /// handing over, as a crash would.
    pub fn stop(&self) {
        self.placement.stop();
        self.gateway.draining.store(true, Ordering::Release);
        self.callers.shutdown(Instant::now());
        self.admin.shutdown(Instant::now());
    }

    /// State of the placement logs kept on this host, by group name.
    pub fn placement_status(&self) -> IndexMap<String, ReplicaStatus> {
        self.placement.status()
    }
}

fn remote_hosts(settings: &Settings) -> IndexMap<String, Vec<RemoteHost>> {
    let mut remote: IndexMap<String, Vec<RemoteHost>> = IndexMap::new();
    for host in &settings.cell.hosts {
        if host.id == settings.host.id {
            continue;
        }
        let client = PeerClient::new(PeerClientOptions {
            local_host: settings.host.id.clone(),
            remote_host: host.id.clone(),
            address: host.peers,
            keys: settings.security.keys(),
            scope: settings.scope_of(host).to_owned(),
        });
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
