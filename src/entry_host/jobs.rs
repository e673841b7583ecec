//! Schedules the jobs of this host's data centre while this host leads the placement log.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use hyper::Method;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::http::{Client, ClientOptions};
use crate::options::Settings;
use crate::placer::jobs::{
    JobJournal, JobPlacer, JobPlacerOptions, TeamSource, WorkerCall, WorkerCallError, WorkerClient,
    WorkerReply, WorkerRequest,
};
use crate::protocol::headers;
use crate::scheduling::fair_share::TeamShare;
use crate::scheduling::job_scheduler::SchedulerSettings;
use crate::scheduling::overuse::Measure;

/// Pause between two scheduling rounds.
const TICK: Duration = Duration::from_millis(50);
/// Concurrent calls to workers. A worker that does not answer occupies a thread until the call
/// times out.
const CALL_THREADS: usize = 16;
/// Calls that wait for a thread. A call above this limit is dropped and due again after a second.
const MAX_WAITING_CALLS: usize = 1_000;
/// Task starts per second: five times the 47/s of a data centre at the target scale.
const MAX_STARTS_PER_S: u32 = 235;

/// Placer of jobs with the threads that schedule and that call workers.
pub(super) struct Jobs {
    pub placer: Arc<JobPlacer>,
    stopped: Arc<AtomicBool>,
}

impl Jobs {
    /// Starts the scheduling thread and the threads that call workers.
    pub fn start(
        settings: &Settings,
        journal: JobJournal,
        configuration: &Arc<Configuration>,
    ) -> Self {
        let options = options(settings, journal, configuration);
        let placer = Arc::new(JobPlacer::new(options));
        let stopped = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = bounded(MAX_WAITING_CALLS);
        for _ in 0..CALL_THREADS {
            let (placer, receiver) = (Arc::clone(&placer), receiver.clone());
            thread::spawn(move || call_workers(&placer, &receiver));
        }
        let (scheduling_placer, should_stop) = (Arc::clone(&placer), Arc::clone(&stopped));
        let configuration = Arc::clone(configuration);
        thread::spawn(move || {
            let mut version = 0;
            while !should_stop.load(Ordering::Acquire) {
                let current = configuration.read().version();
                if current != version {
                    scheduling_placer.refresh_teams();
                    version = current;
                }
                tick(&scheduling_placer, &sender);
                thread::sleep(TICK);
            }
        });
        Self { placer, stopped }
    }

    /// Stops scheduling. Calls in flight end by their timeout.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }
}

fn options(
    settings: &Settings,
    journal: JobJournal,
    configuration: &Arc<Configuration>,
) -> JobPlacerOptions {
    let this = settings.this_host();
    let timing = &settings.timing;
    JobPlacerOptions {
        data_centre: this.data_centre.clone(),
        region: this.region.clone(),
        lease: Duration::from_millis(timing.lease_ms),
        clock_margin: Duration::from_millis(timing.clock_margin_ms),
        announcement_interval: Duration::from_millis(timing.announcement_interval_ms),
        key_retention: Duration::from_millis(timing.key_retention_ms),
        max_starts_per_s: MAX_STARTS_PER_S,
        scheduler: SchedulerSettings::default(),
        teams: teams(configuration),
        clock: Clock::system(),
        journal,
        client: worker_client(
            timing.exchange_timeout(),
            Duration::from_millis(timing.lease_ms),
        ),
    }
}

/// Returns the weights of the teams. Quotas are left out: operators set upper bounds, while the
/// scheduler supports guaranteed amounts with borrowing.
fn teams(configuration: &Arc<Configuration>) -> TeamSource {
    let configuration = Arc::clone(configuration);
    Arc::new(move || {
        let snapshot = configuration.read();
        let teams = snapshot.content().teams.values();
        teams
            .map(|team| {
                let share = TeamShare {
                    weight: team.weight,
                    ..TeamShare::default()
                };
                (team.member.clone(), share)
            })
            .collect()
    })
}

/// Runs one scheduling round and queues the calls to workers that are due.
fn tick(placer: &JobPlacer, calls: &Sender<WorkerCall>) {
    if !placer.is_leading() {
        return;
    }
    match placer.tick() {
        Ok(due) => {
            for call in due {
                if let Err(error) = calls.try_send(call) {
                    log::warn!("a call to a worker was postponed: {error}");
                }
            }
        }
        Err(error) => log::debug!("the scheduling round of jobs failed: {error}"),
    }
}

/// Makes the queued calls until the queue is closed.
fn call_workers(placer: &JobPlacer, calls: &Receiver<WorkerCall>) {
    for call in calls {
        if let Err(error) = placer.perform(&call) {
            log::debug!(
                "the reply about task {} was not recorded: {error}",
                call.task
            );
        }
    }
}

/// Returns a client that calls workers over HTTP.
fn worker_client(timeout: Duration, lease: Duration) -> WorkerClient {
    let client = Client::new(ClientOptions::default());
    WorkerClient {
        send: Arc::new(move |call| {
            let request = http_request(call, Instant::now() + timeout, lease);
            client.send(request).map_or_else(no_answer, parse_reply)
        }),
    }
}

fn http_request(call: &WorkerCall, deadline: Instant, lease: Duration) -> ClientRequest {
    let url = |suffix: &str| format!("http://{}/v1/tasks/{}{suffix}", call.address, call.task);
    let mut request = match &call.request {
        WorkerRequest::Start { resources, payload } => {
            let resources = serde_json::to_string(resources).unwrap_or_default();
            let mut request = ClientRequest::new(Method::PUT, url(""), deadline)
                .header(headers::RESOURCES, resources)
                .header(headers::LEASE_MS, lease.as_millis().to_string());
            request.body.clone_from(payload);
            request
        }
        WorkerRequest::Query => ClientRequest::new(Method::GET, url(""), deadline),
        WorkerRequest::Apply(measure) => {
            let suffix = match measure {
                Measure::Throttle => "/throttle",
                Measure::Checkpoint => "/checkpoint",
                Measure::Stop => "/stop",
            };
            ClientRequest::new(Method::POST, url(suffix), deadline)
        }
        WorkerRequest::Cancel => ClientRequest::new(Method::POST, url("/cancel"), deadline),
        WorkerRequest::RemoveRecord => ClientRequest::new(Method::DELETE, url(""), deadline),
    };
    request = request
        .header(headers::EPOCH, call.epoch.to_string())
        .header(headers::INCARNATION, call.incarnation.to_string());
    request
}

fn no_answer(error: ClientError) -> Result<WorkerReply, WorkerCallError> {
    Err(WorkerCallError::NoAnswer(error.to_string()))
}

/// Reads the task state from a reply. A reply without one proves nothing about the task and counts
/// as no answer.
fn parse_reply(response: ClientResponse) -> Result<WorkerReply, WorkerCallError> {
    let state = response
        .header(headers::TASK_STATE)
        .and_then(|text| text.parse().ok());
    let no_state = || WorkerCallError::NoAnswer(format!("status {}", response.status));
    state.map(WorkerReply::State).ok_or_else(no_state)
}
