//! Starts and stops an entry host: assembles all its control roles from the settings.

mod administration;
mod configuration_log;
mod jobs;
mod placement_log;
mod replica_calls;
mod replica_operations;
mod replica_reports;
mod request_policy;

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
use crate::gateway::routing::{RemoteHost, Router, announce_to_both};
use crate::gateway::throttle::Throttle;
use crate::http::{Server, ServerOptions, body_budget};
use crate::membership::agent::MembershipPeer;
use crate::membership::{HostView, MembershipAgent, MembershipOptions, ProbeTiming};
use crate::options::Settings;
use crate::peer::{LinkConditions, PeerClient, PeerClientOptions, PeerServer};
use crate::placer::jobs::JobPlacer;
use crate::placer::links::http_exchange;
use crate::placer::{Placer, PlacerOptions};
use crate::protocol::caller::Submission;
use crate::protocol::peer::{ForwardedSubmission, PeerReply, PeerRequest};
use crate::replication::ReplicaStatus;
use configuration_log::ConfigurationReplica;
use jobs::Jobs;
use placement_log::PlacementLogs;

/// Time for transferring the leadership of the logs of one kind during a shutdown.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Options that tests and benchmarks set in addition to the settings.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// Simulated conditions of the links to other hosts; `None` simulates nothing.
    pub links: Option<Arc<LinkConditions>>,
    /// Entries after which the configuration log takes a snapshot; `None` keeps the default.
    pub max_configuration_log_entries: Option<u64>,
}

/// A running entry host.
pub struct EntryHost {
    settings: Settings,
    gateway: Arc<Gateway>,
    configuration: Arc<Configuration>,
    callers: Server,
    admin: Server,
    peers: PeerServer,
    placement: Arc<PlacementLogs>,
    jobs: Jobs,
    /// Absent in a cell whose settings name no voter.
    configuration_replica: Option<Arc<ConfigurationReplica>>,
    membership: Arc<MembershipAgent>,
}

impl EntryHost {
    /// Starts all roles and listeners.
    ///
    /// # Errors
    ///
    /// The error of binding a listener or of opening the configuration log.
    pub fn start(settings: Settings) -> io::Result<Self> {
        Self::start_with_options(settings, StartOptions::default())
    }

    /// Starts all roles and listeners with the options of a test or benchmark.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with_options(settings: Settings, options: StartOptions) -> io::Result<Self> {
        let links = options.links.clone();
        let this = settings.this_host().clone();
        let remote = remote_hosts(&settings, links.as_ref());
        let (placement, journals) = PlacementLogs::start(&settings, &remote);
        let placement = Arc::new(placement);
        let operator_token = settings.cell.operator_token_sha256;
        let configuration = Configuration::new(operator_token, Clock::system());
        let configuration_replica =
            start_configuration(&settings, &remote, &configuration, &options)?;
        let configuration_log = match &configuration_replica {
            Some(replica) => replica.log(),
            None => ConfigurationLog::in_memory(Arc::clone(&configuration), this.id.clone()),
        };
        let placer = Placer::new(PlacerOptions {
            data_centre: this.data_centre.clone(),
            limits: settings.limits.clone(),
            timing: settings.timing.clone(),
            request_policy: settings.scheduling.request_policy,
            clock: Clock::system(),
            journal: journals.requests,
            exchange: http_exchange(),
        });
        let (drains, caught_up) = (Arc::clone(&configuration), configuration_replica.clone());
        placer.set_drain_check(Box::new(move |worker| {
            // A placer that does not know the drains yet must not send work to a drained worker, so
            // all workers count as drained until then.
            let known = caught_up
                .as_ref()
                .is_none_or(|replica| replica.is_caught_up());
            !known || drains.read().is_worker_drained(worker)
        }));
        placer.set_policy_source(request_policy::source(&configuration));
        let jobs = Jobs::start(&settings, journals.jobs, &configuration);
        let joining = configuration_replica.clone();
        let gateway = Arc::new(Gateway {
            router: Router {
                data_centre: this.data_centre.clone(),
                data_centres: settings.data_centres(),
                local: Some(Arc::clone(&placer)),
                local_jobs: Some(Arc::clone(&jobs.placer)),
                remote,
            },
            host: this.id.clone(),
            authentication: settings.cell.authentication,
            configuration: Arc::clone(&configuration),
            timing: settings.timing.clone(),
            is_configured: Box::new(move || {
                joining
                    .as_ref()
                    .is_none_or(|replica| replica.is_caught_up())
            }),
            throttle: Throttle::default(),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        });
        let membership = start_membership(&settings, links)?;
        let handler = PeerCallHandler {
            placer: Arc::clone(&placer),
            jobs: Arc::clone(&jobs.placer),
            placement: Arc::clone(&placement),
            configuration: configuration_replica.clone(),
        };
        let peers = PeerServer::start(
            settings.listeners.peers,
            settings.security.keys(),
            Arc::new(move |host, request| handler.handle(&host, request)),
        )?;
        let caller_gateway = Arc::clone(&gateway);
        body_budget::configure(settings.limits.body_limits());
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
        let administration = administration::start(
            &settings,
            &gateway,
            &configuration,
            configuration_log,
            administration::Observed {
                configuration: configuration_replica.clone(),
                membership: Arc::clone(&membership),
            },
        );
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
            jobs,
            configuration_replica,
            membership,
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

    /// Configuration as applied by this host.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Fails the readiness check, waits for the requests in flight, transfers the leadership of the
    /// logs and closes the listeners. Returns whether all requests in flight finished in time.
    pub fn shutdown(&self) -> bool {
        let timing = &self.settings.timing;
        self.gateway.draining.store(true, Ordering::Release);
        // Gives the load balancer time to see that `/ready` fails.
        thread::sleep(Duration::from_millis(timing.drain_delay_ms));
        let deadline = Instant::now() + Duration::from_millis(timing.drain_timeout_ms);
        let finished = self.callers.shutdown(deadline);
        let idle = self
            .gateway
            .router
            .local
            .as_ref()
            .is_none_or(|placer| placer.wait_until_idle(deadline));
        self.placement
            .transfer_leadership(Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT);
        if let Some(replica) = &self.configuration_replica {
            replica.transfer_leadership(Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT);
        }
        self.stop_logs();
        self.admin.shutdown(Instant::now() + Duration::from_secs(1));
        finished && idle
    }

    /// Stops the host's replicas, refuses callers and closes the listeners, without draining or
    /// transferring leadership, as a crash would.
    pub fn stop(&self) {
        self.stop_logs();
        self.peers.stop();
        self.gateway.draining.store(true, Ordering::Release);
        self.callers.shutdown(Instant::now());
        self.admin.shutdown(Instant::now());
    }

    fn stop_logs(&self) {
        self.jobs.stop();
        self.placement.stop();
        if let Some(replica) = &self.configuration_replica {
            replica.stop();
        }
    }

    /// State of the configuration log on this host; `None` in a cell whose settings name no voter.
    pub fn configuration_status(&self) -> Option<ReplicaStatus> {
        self.configuration_replica
            .as_ref()
            .map(|replica| replica.status())
    }

    /// Liveness of all entry hosts as seen by this host.
    pub fn membership(&self) -> Vec<HostView> {
        self.membership.views()
    }

    /// State of the replicas of placement logs on this host, by group name.
    pub fn placement_status(&self) -> IndexMap<String, ReplicaStatus> {
        self.placement.status()
    }
}

/// Starts the replica of the configuration log; `None` in a cell whose settings name no voter.
fn start_configuration(
    settings: &Settings,
    remote: &IndexMap<String, Vec<RemoteHost>>,
    configuration: &Arc<Configuration>,
    options: &StartOptions,
) -> io::Result<Option<Arc<ConfigurationReplica>>> {
    if !settings.cell.hosts.iter().any(|host| host.votes) {
        return Ok(None);
    }
    let started = ConfigurationReplica::start(
        settings,
        remote,
        configuration,
        options.max_configuration_log_entries,
    );
    started.map(Some).map_err(io::Error::other)
}

/// Starts failure detection on the UDP port that has the number of the peer listener's TCP port.
fn start_membership(
    settings: &Settings,
    links: Option<Arc<LinkConditions>>,
) -> io::Result<Arc<MembershipAgent>> {
    let others = settings
        .cell
        .hosts
        .iter()
        .filter(|host| host.id != settings.host.id);
    let peers = others.map(|host| MembershipPeer {
        host: host.id.clone(),
        address: host.peers,
        scope: settings.scope_of(host).to_owned(),
    });
    let started = Clock::system().unix_ms();
    let agent = MembershipAgent::start(MembershipOptions {
        host: settings.host.id.clone(),
        incarnation: started,
        address: settings.listeners.peers,
        peers: peers.collect(),
        keys: settings.security.keys(),
        timing: ProbeTiming::default(),
        seed: rand::random(),
        links,
    })?;
    Ok(Arc::new(agent))
}

fn remote_hosts(
    settings: &Settings,
    links: Option<&Arc<LinkConditions>>,
) -> IndexMap<String, Vec<RemoteHost>> {
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
            links: links.cloned(),
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

/// Handles calls from other hosts.
struct PeerCallHandler {
    placer: Arc<Placer>,
    jobs: Arc<JobPlacer>,
    placement: Arc<PlacementLogs>,
    configuration: Option<Arc<ConfigurationReplica>>,
}

impl PeerCallHandler {
    fn handle(&self, host: &str, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Replication { group, message } => match &self.configuration {
                Some(replica) if group == configuration_log::GROUP => {
                    replica.handle(host, &message)
                }
                _ => self.placement.handle(host, &group, &message),
            },
            PeerRequest::Extension { name, message } => {
                let configuration = self.configuration.as_ref();
                let reply =
                    configuration.and_then(|replica| replica.handle_extension(&name, message));
                reply.unwrap_or_else(|| PeerReply::Refused(format!("no extension {name}")))
            }
            PeerRequest::Submit(forwarded) => match self.leading_placer(&forwarded.data_centre) {
                Some(placer) => PeerReply::Outcome(placer.submit(&submission(forwarded))),
                None => PeerReply::NotPlacer { placer: None },
            },
            PeerRequest::Cancel { data_centre, key } => match self.leading_placer(&data_centre) {
                Some(placer) => PeerReply::Cancelled(Ok(placer.cancel(&key))),
                None => PeerReply::NotPlacer { placer: None },
            },
            PeerRequest::Query { data_centre, key } => match self.leading_placer(&data_centre) {
                Some(placer) => PeerReply::Outcome(placer.query(&key)),
                None => PeerReply::NotPlacer { placer: None },
            },
            PeerRequest::Job { data_centre, call } => match self.leading_placer(&data_centre) {
                Some(_) => PeerReply::Job(self.jobs.handle(call)),
                None => PeerReply::NotPlacer { placer: None },
            },
            PeerRequest::Announce(announcement) => {
                match self.leading_placer(&announcement.data_centre) {
                    Some(placer) => PeerReply::Announced(announce_to_both(
                        placer,
                        Some(&self.jobs),
                        announcement,
                    )),
                    None => PeerReply::NotPlacer { placer: None },
                }
            }
        }
    }

    /// Returns the placer of this host if it leads in the data centre.
    fn leading_placer(&self, data_centre: &str) -> Option<&Arc<Placer>> {
        let placer = &self.placer;
        (placer.data_centre() == data_centre && placer.is_leading()).then_some(placer)
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
