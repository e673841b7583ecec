//! Replicas of placement logs on this host: that of its data centre, and that of the data centre
//! for which the host is a witness.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::replica_calls;
use crate::clock::Clock;
use crate::gateway::routing::RemoteHost;
use crate::ids::{DataCentreName, HostId};
use crate::options::Settings;
use crate::placer::job_records::{JobRecord, JobState, decode_snapshot, encode_snapshot};
use crate::placer::jobs::JobJournal;
use crate::placer::journal::{CurrentEpoch, Journal, JournalError};
use crate::placer::records::{PlacementRecord, PlacementState};
use crate::protocol::peer::PeerReply;
use crate::replication::{
    Limits, Replica, ReplicaOptions, ReplicaStatus, StateMachine, StorageOptions, Timing,
};

/// Time for a record to be committed. Long enough for a change of the leader's majority, after
/// which the outcome is usually known.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// One entry of a placement log.
#[derive(Serialize, Deserialize)]
enum LogRecord {
    /// Record about a request.
    Requests(PlacementRecord),
    /// Records about jobs, applied atomically.
    Jobs(Vec<JobRecord>),
}

/// State built from the committed records of a placement log.
#[derive(Clone, Default)]
struct LogState {
    requests: Arc<Mutex<PlacementState>>,
    jobs: Arc<Mutex<JobState>>,
}

/// Journals through which the placers of requests and of jobs append to the placement log.
pub(super) struct Journals {
    pub requests: Journal,
    pub jobs: JobJournal,
}

/// Replicas of placement logs on this host, by group name.
#[derive(Default)]
pub(super) struct PlacementLogs {
    replicas: IndexMap<String, Arc<Replica<()>>>,
}

impl PlacementLogs {
    /// Starts the replicas of this host. Returns them with the journals of the host's placers.
    pub(super) fn start(
        settings: &Settings,
        remote: &IndexMap<DataCentreName, Vec<RemoteHost>>,
    ) -> (Self, Journals) {
        let mut logs = Self::default();
        let this = settings.this_host();
        if let Some(witnessed) = &this.witness_for {
            let state = LogState::default();
            logs.start_replica(settings, remote, witnessed, &state);
        }
        let own = &this.data_centre;
        if voters(settings, own).len() == 1 && settings.host.data_folder.is_none() {
            let started = Clock::system().unix_seconds();
            // The unit is that of the epochs of a replicated log, so that no epoch becomes lower when a
            // host is added to the data centre.
            let epoch = started * 1_000;
            let journals = Journals {
                requests: Journal {
                    records_since_unix_seconds: started,
                    ..Journal::in_memory(epoch)
                },
                jobs: JobJournal {
                    records_since_unix_seconds: started,
                    ..JobJournal::in_memory(epoch)
                },
            };
            return (logs, journals);
        }
        let state = LogState::default();
        let journals = match logs.start_replica(settings, remote, own, &state) {
            Some(replica) => journals(&replica, state),
            None => unavailable_journals(state),
        };
        (logs, journals)
    }

    fn start_replica(
        &mut self,
        settings: &Settings,
        remote: &IndexMap<DataCentreName, Vec<RemoteHost>>,
        data_centre: &str,
        state: &LogState,
    ) -> Option<Arc<Replica<()>>> {
        let group = format!("placement/{data_centre}");
        let folder = settings.host.data_folder.as_ref();
        let folder = folder.map(|folder| folder.join(format!("placement-{data_centre}")));
        let started = Replica::start(ReplicaOptions {
            group: group.clone(),
            host: settings.host.id.clone(),
            initial_voters: voters(settings, data_centre),
            may_lead: settings.this_host().data_centre == data_centre,
            storage: storage(folder),
            clock: Clock::system(),
            timing: Timing::default(),
            limits: Limits::default(),
            seed: rand::random(),
            send: replica_calls::sender(&group, replica_calls::clients(remote)),
            machine: state_machine(state),
        });
        match started {
            Ok(replica) => {
                let replica = Arc::new(replica);
                self.replicas.insert(group, Arc::clone(&replica));
                Some(replica)
            }
            Err(error) => {
                log::error!("cannot start the replica of {group} on this host: {error}");
                None
            }
        }
    }

    /// Handles a message from another host's replica.
    pub(super) fn handle(&self, from: &str, group: &str, message: &[u8]) -> PeerReply {
        match self.replicas.get(group) {
            Some(replica) => PeerReply::Message(replica.handle(from, message)),
            None => PeerReply::Refused(format!("no replicated log {group}")),
        }
    }

    /// Returns the state of each replica, by group name.
    pub(super) fn status(&self) -> IndexMap<String, ReplicaStatus> {
        let status =
            |(group, replica): (&String, &Arc<Replica<()>>)| (group.clone(), replica.status());
        self.replicas.iter().map(status).collect()
    }

    /// Transfers the leadership of each log that this host leads.
    pub(super) fn transfer_leadership(&self, deadline: Instant) {
        for (group, replica) in &self.replicas {
            if replica.leadership().is_none() {
                continue;
            }
            if let Err(error) = replica.transfer_leadership(None, deadline) {
                log::warn!("cannot transfer the leadership of {group}: {error}");
            }
        }
    }

    /// Stops all replicas without transferring leadership.
    pub(super) fn stop(&self) {
        for replica in self.replicas.values() {
            replica.shutdown();
        }
    }
}

/// Returns the hosts of the data centre and its witness, which vote in its placement log.
fn voters(settings: &Settings, data_centre: &str) -> Vec<HostId> {
    let votes = |host: &&crate::options::settings::CellHost| {
        host.data_centre == data_centre || host.witness_for.as_deref() == Some(data_centre)
    };
    let hosts = settings.cell.hosts.iter().filter(votes);
    hosts.map(|host| host.id.clone()).collect()
}

fn storage(folder: Option<PathBuf>) -> StorageOptions {
    folder.map_or(StorageOptions::Memory, StorageOptions::Folder)
}

fn state_machine(state: &LogState) -> StateMachine<()> {
    let (apply, snapshot, restore) = (state.clone(), state.clone(), state.clone());
    StateMachine {
        apply: Box::new(move |index, command| match postcard::from_bytes(command) {
            Ok(LogRecord::Requests(record)) => apply.requests.lock().unwrap().apply(record),
            Ok(LogRecord::Jobs(records)) => {
                let mut jobs = apply.jobs.lock().unwrap();
                records.into_iter().for_each(|record| jobs.apply(record));
            }
            Err(error) => log::error!("record {index} cannot be decoded: {error}"),
        }),
        snapshot: Box::new(move || {
            let requests = snapshot.requests.lock().unwrap();
            let jobs = snapshot.jobs.lock().unwrap();
            encode_snapshot(&requests, &jobs)
        }),
        restore: Box::new(move |bytes| match decode_snapshot(bytes) {
            Ok((requests, jobs)) => {
                *restore.requests.lock().unwrap() = requests;
                *restore.jobs.lock().unwrap() = jobs;
            }
            Err(error) => log::error!("a snapshot cannot be decoded: {error}"),
        }),
    }
}

fn journals(replica: &Arc<Replica<()>>, state: LogState) -> Journals {
    let (for_requests, for_jobs) = (Arc::clone(replica), Arc::clone(replica));
    let leading = Arc::clone(replica);
    let epoch: CurrentEpoch = Arc::new(move || leading.leadership());
    Journals {
        requests: Journal {
            append: Arc::new(move |record| append(&for_requests, &LogRecord::Requests(record))),
            epoch: Arc::clone(&epoch),
            state: state.requests,
            records_since_unix_seconds: 0,
        },
        jobs: JobJournal {
            append: Arc::new(move |records| append(&for_jobs, &LogRecord::Jobs(records))),
            epoch,
            state: state.jobs,
            records_since_unix_seconds: 0,
        },
    }
}

fn append(replica: &Replica<()>, record: &LogRecord) -> Result<(), JournalError> {
    let command = postcard::to_stdvec(record)
        .map_err(|error| JournalError::NotLeader(format!("cannot encode the record: {error}")))?;
    match replica.propose(command, Instant::now() + APPEND_TIMEOUT) {
        Ok(_) => Ok(()),
        Err(error) if error.is_certainly_not_committed() => {
            Err(JournalError::NotLeader(error.to_string()))
        }
        Err(error) => Err(JournalError::Unconfirmed(error.to_string())),
    }
}

/// Returns journals that refuse every record, for a host whose log cannot be used. Such a host
/// forwards requests to the other hosts.
fn unavailable_journals(state: LogState) -> Journals {
    let refused = || JournalError::NotLeader("the log is not available on this host".to_owned());
    Journals {
        requests: Journal {
            append: Arc::new(move |_| Err(refused())),
            epoch: Arc::new(|| None),
            state: state.requests,
            records_since_unix_seconds: 0,
        },
        jobs: JobJournal {
            append: Arc::new(move |_| Err(refused())),
            epoch: Arc::new(|| None),
            state: state.jobs,
            records_since_unix_seconds: 0,
        },
    }
}
