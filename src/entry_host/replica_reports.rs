//! Collects reports of the entry hosts about their configuration version and the state of their
//! replica of the configuration log.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::configuration_log::ConfigurationReplica;
use crate::admin::replicas::{ReplicaRole, ReplicaView};
use crate::admin::sources::AppliedVersion;
use crate::ids::{ConfigVersion, HostId, Incarnation};
use crate::peer::PeerClient;
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::replication::{Member, MemberRole, ReplicaPhase};

/// Peer extension that requests a host's version and the state of its replica.
pub(super) const REPORT: &str = "configuration/report";
/// Timeout of a request for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reply to [`REPORT`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Report {
    version: ConfigVersion,
    applied_age_ms: u64,
    /// Identity of the replica's storage.
    pub incarnation: Incarnation,
    /// Whether the replica leads and has applied everything that is committed.
    leads: bool,
    /// Name of the phase of the replica.
    phase: String,
    /// Why the replica is faulty; `None` if it is not.
    pub fault: Option<String>,
    /// Whether the log is kept on a disk.
    pub on_disk: bool,
}

impl ConfigurationReplica {
    /// Marks this host as caught up if its version is not older than that of the leader, which has
    /// applied all committed changes.
    pub(super) fn check_caught_up(&self) {
        if self.replica.leadership().is_some() {
            self.caught_up.store(true, Ordering::Release);
            return;
        }
        let Some(leader) = self.replica.leader_hint() else {
            return;
        };
        let requested_at = Instant::now();
        if let Some(client) = self.clients.get(&leader) {
            self.request_report(&leader, client);
        }
        let report = self.report_since(&leader, requested_at);
        let Some(report) = report.filter(|report| report.leads) else {
            return;
        };
        let status = self.replica.status();
        if status.membership.get(&self.host.id).is_some()
            && self.configuration.read().version() >= report.version
        {
            self.caught_up.store(true, Ordering::Release);
        }
    }

    /// Report of this host.
    pub(super) fn report(&self) -> Report {
        let snapshot = self.configuration.read();
        let age = Instant::now().saturating_duration_since(snapshot.applied_at());
        let status = self.replica.status();
        let (phase, fault) = match status.phase {
            ReplicaPhase::Joining => ("joining", None),
            ReplicaPhase::Follower => ("follower", None),
            ReplicaPhase::Candidate => ("candidate", None),
            ReplicaPhase::Leader => ("leader", None),
            ReplicaPhase::Faulty(reason) => ("faulty", Some(reason)),
        };
        Report {
            version: snapshot.version(),
            applied_age_ms: milliseconds(age),
            incarnation: status.incarnation,
            leads: self.replica.leadership().is_some(),
            phase: phase.to_owned(),
            fault,
            on_disk: self.on_disk,
        }
    }

    /// Host that this replica believes to lead; `None` if unknown.
    pub(super) fn leader_hint(&self) -> Option<HostId> {
        self.replica.leader_hint()
    }

    /// Requests a report from all other hosts. A host that does not answer keeps its latest report.
    pub(super) fn request_reports(&self) {
        thread::scope(|scope| {
            for (host, client) in &self.clients {
                scope.spawn(|| self.request_report(host, client));
            }
        });
    }

    /// Returns the report of a host if it arrived at `requested_at` or later.
    pub(super) fn report_since(&self, host: &str, requested_at: Instant) -> Option<Report> {
        let (reported_at, report) = self.latest_report(host)?;
        (reported_at >= requested_at).then_some(report)
    }

    fn latest_report(&self, host: &str) -> Option<(Instant, Report)> {
        if host == self.host.id {
            return Some((Instant::now(), self.report()));
        }
        self.reports.lock().unwrap().get(host).cloned()
    }

    /// Returns all hosts of the settings as replicas of the log. Their liveness is left open.
    pub(super) fn replicas(&self) -> Vec<ReplicaView> {
        self.request_reports();
        // An uncommitted change of the membership can still be lost with the leader.
        let membership = self.replica.status().committed_membership;
        let reports = self.hosts.iter().map(|host| self.latest_report(&host.id));
        let reports: Vec<_> = reports.collect();
        let known = reports.iter().flatten();
        let newest = known.map(|(_, report)| report.version).max().unwrap_or(0);
        let mut views = Vec::new();
        for (host, report) in self.hosts.iter().zip(reports) {
            let member = membership.get(&host.id);
            let (reported_at, report) = report.unzip();
            views.push(ReplicaView {
                host: host.id.clone(),
                data_centre: host.data_centre.clone(),
                role: role(member, report.as_ref()),
                incarnation: member.map(|member| member.incarnation),
                phase: report.as_ref().map(|report| report.phase.clone()),
                fault: report.as_ref().and_then(|report| report.fault.clone()),
                on_disk: report.as_ref().map(|report| report.on_disk),
                version: report.as_ref().map(|report| report.version),
                behind: report.as_ref().map(|report| newest - report.version),
                reported_age_ms: reported_at.map(|at| milliseconds(at.elapsed())),
                liveness: None,
            });
        }
        views
    }

    /// Requests the version of all hosts. A host that does not answer is listed with its latest
    /// report, and omitted if it never reported.
    pub(super) fn applied_versions(&self) -> Vec<AppliedVersion> {
        self.request_reports();
        let mut versions = Vec::new();
        for host in &self.hosts {
            let Some((reported_at, reply)) = self.latest_report(&host.id) else {
                continue;
            };
            let reported_age = Instant::now().saturating_duration_since(reported_at);
            versions.push(AppliedVersion {
                host: host.id.clone(),
                data_centre: host.data_centre.clone(),
                version: reply.version,
                applied_age_ms: reply.applied_age_ms + milliseconds(reported_age),
                reported_age_ms: milliseconds(reported_age),
            });
        }
        versions
    }

    fn request_report(&self, host: &HostId, client: &PeerClient) {
        let request = PeerRequest::Extension {
            name: REPORT.to_owned(),
            message: Vec::new(),
        };
        let Ok(PeerReply::Message(reply)) = client.call(request, Instant::now() + REPORT_TIMEOUT)
        else {
            return;
        };
        if let Ok(reply) = postcard::from_bytes(&reply) {
            self.reports
                .lock()
                .unwrap()
                .insert(host.clone(), (Instant::now(), reply));
        }
    }
}

/// Returns the effective role of a host. A voter that restarted with other storage does not vote,
/// although the membership still records its former storage until the leader has noticed.
fn role(member: Option<&Member>, report: Option<&Report>) -> ReplicaRole {
    let Some(member) = member else {
        return ReplicaRole::Outside;
    };
    let replaced = report.is_some_and(|report| report.incarnation != member.incarnation);
    match member.role {
        MemberRole::Voter if !replaced => ReplicaRole::Voter,
        MemberRole::Voter | MemberRole::Returning => ReplicaRole::Returning,
        MemberRole::Learner => ReplicaRole::Learner,
    }
}

pub(super) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
