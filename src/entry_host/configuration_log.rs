//! Replica of the cell's configuration log on this host.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::replica_calls;
use super::replica_operations::{Reservation, STEP};
use super::replica_reports::{REPORT, Report, milliseconds};
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::configuration::log::{ConfigurationLog, LogStatus, ProposeError};
use crate::gateway::routing::RemoteHost;
use crate::ids::{DataCentreName, HostId};
use crate::options::Settings;
use crate::options::settings::CellHost;
use crate::peer::{CallError, PeerClient};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::replication::{
    Index, Limits, Replica, ReplicaOptions, ReplicaPhase, ReplicaStatus, StateMachine,
    StorageError, StorageOptions, Timing,
};

/// Group name of the configuration log.
pub(super) const GROUP: &str = "configuration";
/// Peer extension by which a host forwards a command to the leader.
const PROPOSE: &str = "configuration/propose";
/// Heartbeat interval of the configuration log. It and the election timeout are longer than those
/// of placement logs: the traffic crosses regions, and an election only has to fit into the 13 s
/// allowed for a change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const ELECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for a change to be committed, including one election.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before a host that knows no leader retries.
pub(super) const LEADER_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the leader adds hosts that do not receive the log yet.
const ADMISSION_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout for adding a host as a learner.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(5);

/// Reply of the host that was asked to propose a command, on [`PROPOSE`].
#[derive(Debug, Serialize, Deserialize)]
enum ProposeReply {
    Applied { index: Index, output: Vec<u8> },
    NotLeader,
    NotAccepted(String),
    MayHaveBeenAccepted(String),
}

/// Replica of the configuration log, with clients to the other entry hosts.
pub(super) struct ConfigurationReplica {
    pub(super) replica: Replica<Vec<u8>>,
    pub(super) configuration: Arc<Configuration>,
    pub(super) host: CellHost,
    pub(super) hosts: Vec<CellHost>,
    pub(super) clients: IndexMap<HostId, PeerClient>,
    /// Whether this host stores the log on a disk.
    pub(super) on_disk: bool,
    /// See [`Self::is_caught_up`].
    pub(super) caught_up: AtomicBool,
    /// Latest report of each other host, with the time of its arrival.
    pub(super) reports: Mutex<IndexMap<HostId, (Instant, Report)>>,
    /// Latest replacement that reserved the membership while this host led.
    pub(super) reservation: Mutex<Reservation>,
}

impl ConfigurationReplica {
    /// Starts the replica and the thread that adds missing hosts as learners.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if the data folder cannot be used.
    pub(super) fn start(
        settings: &Settings,
        remote: &IndexMap<DataCentreName, Vec<RemoteHost>>,
        configuration: &Arc<Configuration>,
        max_log_entries: Option<u64>,
    ) -> Result<Arc<Self>, StorageError> {
        let clients = replica_calls::clients(remote);
        let hosts = settings.cell.hosts.clone();
        let voters = hosts
            .iter()
            .filter(|host| host.votes)
            .map(|host| host.id.clone())
            .collect();
        let folder = settings
            .host
            .data_folder
            .as_ref()
            .map(|folder| folder.join(GROUP));
        let on_disk = folder.is_some();
        let mut limits = Limits::default();
        limits.max_log_entries = max_log_entries.unwrap_or(limits.max_log_entries);
        let replica = Replica::start(ReplicaOptions {
            group: GROUP.to_owned(),
            host: settings.host.id.clone(),
            initial_voters: voters,
            may_lead: true,
            storage: folder.map_or(StorageOptions::Memory, StorageOptions::Folder),
            clock: Clock::system(),
            timing: Timing {
                heartbeat_interval: HEARTBEAT_INTERVAL,
                election_timeout: ELECTION_TIMEOUT,
                announces_commits: true,
                ..Timing::default()
            },
            limits,
            seed: rand::random(),
            send: replica_calls::sender(GROUP, clients.clone()),
            machine: state_machine(configuration),
        })?;
        let this = Arc::new(Self {
            replica,
            configuration: Arc::clone(configuration),
            host: settings.this_host().clone(),
            hosts,
            clients,
            on_disk,
            caught_up: AtomicBool::new(false),
            reports: Mutex::default(),
            reservation: Mutex::default(),
        });
        let admitting = Arc::downgrade(&this);
        let spawned = thread::Builder::new()
            .name("configuration-admission".to_owned())
            .spawn(move || run_admission(&admitting));
        if let Err(error) = spawned {
            log::error!(
                "cannot start the thread that adds hosts to the configuration log: {error}"
            );
        }
        Ok(this)
    }

    /// Access to the log for the administration interface.
    pub(super) fn log(self: &Arc<Self>) -> ConfigurationLog {
        let (proposing, hinting, showing) = (Arc::clone(self), Arc::clone(self), Arc::clone(self));
        ConfigurationLog {
            propose: Arc::new(move |command| proposing.propose(&command)),
            leader_hint: Arc::new(move || hinting.replica.leader_hint()),
            status: Arc::new(move || showing.log_status()),
        }
    }

    /// Handles a message from another host's replica.
    pub(super) fn handle(&self, from: &str, message: &[u8]) -> PeerReply {
        PeerReply::Message(self.replica.handle(from, message))
    }

    /// Handles a message of a peer extension; `None` for an extension of another module.
    pub(super) fn handle_extension(&self, name: &str, message: Vec<u8>) -> Option<PeerReply> {
        let reply = match name {
            PROPOSE => postcard::to_stdvec(&self.propose_locally(message)),
            REPORT => postcard::to_stdvec(&self.report()),
            STEP => {
                let step = postcard::from_bytes(&message);
                step.and_then(|step| postcard::to_stdvec(&self.step_locally(&step)))
            }
            _ => return None,
        };
        Some(match reply {
            Ok(reply) => PeerReply::Message(reply),
            Err(error) => PeerReply::Refused(format!("cannot read or write a message: {error}")),
        })
    }

    /// Returns whether this host has applied everything that was committed when it started. Until
    /// then its version may be older than one that it applied before a restart.
    pub(super) fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// State of the replica.
    pub(super) fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Transfers the leadership to another voter if this host leads.
    pub(super) fn transfer_leadership(&self, deadline: Instant) {
        if self.replica.leadership().is_none() {
            return;
        }
        if let Err(error) = self.replica.transfer_leadership(None, deadline) {
            log::warn!("cannot transfer the leadership of {GROUP}: {error}");
        }
    }

    /// Stops the replica without transferring leadership.
    pub(super) fn stop(&self) {
        self.replica.shutdown();
    }

    /// Proposes a command at the leader, which may be this host, and waits until this host has
    /// applied it. Retries while no leader is known, until the timeout.
    fn propose(&self, command: &[u8]) -> Result<Vec<u8>, ProposeError> {
        let deadline = Instant::now() + PROPOSE_TIMEOUT;
        loop {
            let reply = match self.replica.leader_hint() {
                Some(leader) if leader == self.host.id => self.propose_locally(command.to_vec()),
                Some(leader) => self.propose_at_leader(&leader, command, deadline)?,
                None => ProposeReply::NotLeader,
            };
            match reply {
                ProposeReply::Applied { index, output } => {
                    self.wait_until_applied(index, deadline);
                    return Ok(output);
                }
                ProposeReply::NotAccepted(reason) => return Err(ProposeError::NotAccepted(reason)),
                ProposeReply::MayHaveBeenAccepted(reason) => {
                    return Err(ProposeError::MayHaveBeenAccepted(reason));
                }
                ProposeReply::NotLeader if Instant::now() >= deadline => {
                    let reason = "no leader of the configuration log is known".to_owned();
                    return Err(ProposeError::NotAccepted(reason));
                }
                ProposeReply::NotLeader => thread::sleep(LEADER_PAUSE),
            }
        }
    }

    fn propose_at_leader(
        &self,
        leader: &str,
        command: &[u8],
        deadline: Instant,
    ) -> Result<ProposeReply, ProposeError> {
        let Some(client) = self.clients.get(leader) else {
            return Ok(ProposeReply::NotLeader);
        };
        let request = PeerRequest::Extension {
            name: PROPOSE.to_owned(),
            message: command.to_vec(),
        };
        let unknown = |reason: String| ProposeError::MayHaveBeenAccepted(reason);
        match client.call(request, deadline) {
            Ok(PeerReply::Message(reply)) => {
                postcard::from_bytes(&reply).map_err(|error| unknown(error.to_string()))
            }
            Ok(PeerReply::Refused(reason)) => Err(ProposeError::NotAccepted(reason)),
            Ok(other) => Err(unknown(format!("unexpected reply: {other:?}"))),
            Err(CallError::NotSent { .. }) => Ok(ProposeReply::NotLeader),
            Err(error) => Err(unknown(error.to_string())),
        }
    }

    fn propose_locally(&self, command: Vec<u8>) -> ProposeReply {
        if self.replica.leadership().is_none() {
            return ProposeReply::NotLeader;
        }
        match self
            .replica
            .propose(command, Instant::now() + PROPOSE_TIMEOUT)
        {
            Ok(proposal) => ProposeReply::Applied {
                index: proposal.index,
                output: proposal.output,
            },
            Err(error) if error.is_certainly_not_committed() => {
                ProposeReply::NotAccepted(error.to_string())
            }
            Err(error) => ProposeReply::MayHaveBeenAccepted(error.to_string()),
        }
    }

    /// Waits until this host has applied the entry, so that operators of this host read their own
    /// writes.
    fn wait_until_applied(&self, index: Index, deadline: Instant) {
        while self.replica.status().applied < index && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn log_status(&self) -> LogStatus {
        let status = self.replica.status();
        let leads = self.replica.leadership().is_some();
        let heard_age = status.heard_leader_at.map(|heard| heard.elapsed());
        let heard_age = if leads {
            Some(Duration::ZERO)
        } else {
            heard_age
        };
        LogStatus {
            leader: status.leader,
            voters: status
                .membership
                .voters()
                .map(|member| member.host.clone())
                .collect(),
            applied_index: status.applied,
            has_quorum: heard_age.is_some_and(|age| age < ELECTION_TIMEOUT),
            leader_heard_age_ms: heard_age.map(milliseconds),
        }
    }

    /// Adds the hosts of the settings that do not receive the log yet as learners.
    fn add_missing_learners(&self) {
        if self.replica.leadership().is_none() {
            return;
        }
        let membership = self.replica.status().membership;
        for host in &self.hosts {
            if membership.get(&host.id).is_some() {
                continue;
            }
            let added = self
                .replica
                .add_learner(&host.id, Instant::now() + ADMISSION_TIMEOUT);
            match added {
                Ok(()) => log::info!("{} was added to the configuration log as learner", host.id),
                Err(error) => log::debug!(
                    "{} cannot be added to the configuration log yet: {error}",
                    host.id
                ),
            }
        }
    }
}

/// Checks whether the replica has caught up, then adds missing hosts at intervals. Returns once the
/// replica is dropped.
fn run_admission(replica: &Weak<ConfigurationReplica>) {
    while let Some(strong) = replica.upgrade() {
        let faulty = matches!(strong.replica.status().phase, ReplicaPhase::Faulty(_));
        let pause = if faulty {
            ADMISSION_INTERVAL
        } else if strong.is_caught_up() {
            strong.add_missing_learners();
            ADMISSION_INTERVAL
        } else {
            strong.check_caught_up();
            LEADER_PAUSE
        };
        drop(strong);
        thread::sleep(pause);
    }
}

fn state_machine(configuration: &Arc<Configuration>) -> StateMachine<Vec<u8>> {
    let [apply, snapshot, restore] = [(); 3].map(|()| Arc::clone(configuration));
    StateMachine {
        apply: Box::new(move |_index, command| apply.apply(command)),
        snapshot: Box::new(move || {
            snapshot.snapshot().unwrap_or_else(|error| {
                log::error!("the configuration cannot be encoded: {error}");
                Vec::new()
            })
        }),
        restore: Box::new(move |bytes| {
            // The initial state of a group is either empty bytes or an empty configuration.
            if let Err(error) = restore.restore(bytes) {
                log::warn!("cannot restore a snapshot of the configuration: {error}");
            }
        }),
    }
}
