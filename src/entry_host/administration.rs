//! Connects the administration interface to the other parts of the host.

use std::sync::Arc;
use std::time::Instant;

use super::configuration_log::ConfigurationReplica;
use crate::admin::Admin;
use crate::admin::replicas::ReplicaControl;
use crate::admin::sources::{AdminSources, AppliedVersion, HostStatus, QueueStatus};
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::configuration::change::Role;
use crate::configuration::log::ConfigurationLog;
use crate::gateway::api::Gateway;
use crate::membership::MembershipAgent;
use crate::options::Settings;

/// Parts of the host whose state the administration interface reports.
pub(super) struct Observed {
    /// Absent in a cell whose settings name no voter.
    pub configuration: Option<Arc<ConfigurationReplica>>,
    /// Failure detection.
    pub membership: Arc<MembershipAgent>,
}

/// Assembles the administration interface, and warns about settings that leave it without an
/// operator or that keep the configuration on one host only.
pub(super) fn start(
    settings: &Settings,
    gateway: &Arc<Gateway>,
    configuration: &Arc<Configuration>,
    log: ConfigurationLog,
    observed: Observed,
) -> Admin {
    warn_without_operator(settings, configuration);
    if settings.cell.hosts.len() > 1 && observed.configuration.is_none() {
        ::log::warn!(
            "the settings name no voter, so the configuration is kept in the memory of this host: \
             changes reach no other host and are lost at a restart"
        );
    }
    Admin {
        host: settings.host.id.clone(),
        authentication: settings.cell.authentication,
        configuration: Arc::clone(configuration),
        log,
        clock: Clock::system(),
        sources: sources(settings, gateway, configuration, observed),
    }
}

fn warn_without_operator(settings: &Settings, configuration: &Configuration) {
    let snapshot = configuration.read();
    let mut tokens = snapshot.content().tokens.values();
    let has_operator = settings.cell.operator_token_sha256.is_some()
        || tokens.any(|token| token.grant.role == Role::Operate);
    if settings.cell.authentication && !has_operator {
        ::log::warn!(
            "authentication is on, but no operator token is known; \
             set cell.operator_token_sha256 to admit the first operator"
        );
    }
}

fn sources(
    settings: &Settings,
    gateway: &Arc<Gateway>,
    configuration: &Arc<Configuration>,
    observed: Observed,
) -> AdminSources {
    let (ready, configured, fleet, queues) = (
        Arc::clone(gateway),
        Arc::clone(gateway),
        Arc::clone(gateway),
        Arc::clone(gateway),
    );
    let hosts = host_list(settings);
    let this = settings.this_host().clone();
    let configuration = Arc::clone(configuration);
    let replicas = replica_control(&observed);
    AdminSources {
        replicas,
        ready: Arc::new(move || ready.is_ready()),
        configured: Arc::new(move || (configured.is_configured)()),
        hosts: Arc::new(move || with_liveness(&hosts, &observed.membership)),
        applied_versions: Arc::new(move || {
            if let Some(replica) = &observed.configuration {
                return replica.applied_versions();
            }
            let snapshot = configuration.read();
            let age = Instant::now().saturating_duration_since(snapshot.applied_at());
            vec![AppliedVersion {
                host: this.id.clone(),
                data_centre: this.data_centre.clone(),
                version: snapshot.version(),
                applied_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                reported_age_ms: 0,
            }]
        }),
        fleet: Arc::new(move || {
            let placer = fleet.router.local.as_ref();
            placer.map_or_else(Vec::new, |placer| placer.runner_announcements())
        }),
        queues: Arc::new(move || {
            let placer = queues.router.local.as_ref();
            let status = placer.map(|placer| QueueStatus {
                data_centre: placer.data_centre().to_owned(),
                leading: placer.is_leading(),
                queued_requests: placer.queued_requests(),
            });
            status.into_iter().collect()
        }),
        // The placer does not report its queue per member.
        members: Arc::new(Vec::new),
    }
}

fn replica_control(observed: &Observed) -> Option<ReplicaControl> {
    let listing = observed.configuration.clone()?;
    let (changing, membership) = (Arc::clone(&listing), Arc::clone(&observed.membership));
    Some(ReplicaControl {
        list: Arc::new(move || {
            let views = membership.views();
            let mut replicas = listing.replicas();
            for replica in &mut replicas {
                let view = views.iter().find(|view| view.host == replica.host);
                replica.liveness = view.map(|view| view.state);
            }
            replicas
        }),
        change: Arc::new(move |operation| changing.change_members(operation)),
    })
}

fn with_liveness(hosts: &[HostStatus], membership: &MembershipAgent) -> Vec<HostStatus> {
    let mut hosts = hosts.to_vec();
    for host in &mut hosts {
        host.alive = Some(!membership.is_dead(&host.host));
    }
    hosts
}

fn host_list(settings: &Settings) -> Vec<HostStatus> {
    let mut list = Vec::new();
    for host in &settings.cell.hosts {
        list.push(HostStatus {
            host: host.id.clone(),
            data_centre: host.data_centre.clone(),
            region: host.region.clone(),
            votes: host.votes,
            witness_for: host.witness_for.clone(),
            alive: None,
        });
    }
    list
}
