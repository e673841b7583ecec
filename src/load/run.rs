//! Sends the requests of an experiment at their planned times and records the responses.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use hyper::Method;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::experiment::{CancellationBurst, Experiment, PlannedRequest};
use crate::http::client::{ClientError, ClientRequest, ClientResponse};
use crate::http::{Client, ClientOptions};
use crate::protocol::headers;
use crate::verdict::Verdict;

/// Time after the timeout of a request in which its verdict may still arrive.
const REPLY_GRACE: Duration = Duration::from_secs(2);
/// Stack size of a sender thread; an experiment may have up to 2,048 of them.
const SENDER_STACK_BYTES: usize = 256 * 1024;
/// Threads that send one burst of cancellations.
const CANCELLATION_THREADS: usize = 8;
/// Delay beyond which a start counts as late.
const LATE_START_THRESHOLD: Duration = Duration::from_millis(20);
/// Delay before another attempt with the same key.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which the progress line on a terminal is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// An attempt to execute a request and the response to it, or a confirmed cancellation.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the request.
    pub number: usize,
    /// Index of the request's workload in the experiment.
    pub workload: usize,
    /// Whether the request is idempotent; others carry an idempotency key.
    pub idempotent: bool,
    /// Verdict of the response; absent when no response with a verdict arrived.
    pub verdict: Option<Verdict>,
    /// HTTP status of the response; zero when no response arrived.
    pub status: u16,
    /// Whether the answer is complete and belongs to the request; true without an answer.
    pub answer_is_valid: bool,
    /// Time from admission to the start of execution; absent when the request did not run.
    pub wait_us: Option<u64>,
    /// Time from the planned start to the end; for a cancellation, the time of its exchange.
    pub latency_us: u64,
    /// Start of the exchange, from the start of the run.
    pub started_us: u64,
    /// End of the exchange, from the start of the run.
    pub ended_us: u64,
    /// Whether this is a confirmed cancellation of the request instead of an attempt.
    pub cancellation: bool,
}

/// Record of a run.
#[derive(Debug, Default)]
pub struct Recording {
    /// Common prefix of the tokens that identify the requests of this run.
    pub token_prefix: String,
    /// Attempts and confirmed cancellations, in the order of their ends.
    pub attempts: Vec<Attempt>,
    /// Number of requests that started late, since too many were in flight.
    pub late_starts: usize,
    /// Duration of the run until its last request ended.
    pub elapsed: Duration,
}

/// State of a run, which its threads share.
struct Run<'a> {
    experiment: &'a Experiment,
    entry_hosts: &'a [SocketAddr],
    data_centres: Vec<String>,
    client: Client,
    token_prefix: String,
    started_at: Instant,
    started_unix_seconds: u64,
    /// Keys of requests in flight, each with the number and the workload index of its request.
    in_flight: Mutex<IndexMap<String, (usize, usize)>>,
    attempts: Mutex<Vec<Attempt>>,
    late_starts: AtomicUsize,
    ended_requests: AtomicUsize,
}

/// Runs an experiment; blocks until all requests have ended.
pub fn run(experiment: &Experiment, entry_hosts: &[SocketAddr]) -> Recording {
    let planned = experiment.plan();
    let client = Client::new(ClientOptions {
        max_idle_connections_per_host: experiment.max_in_flight,
        ..ClientOptions::default()
    });
    let data_centres = entry_hosts
        .iter()
        .filter_map(|entry| fetch_data_centre(&client, *entry))
        .collect();
    let run = Run {
        experiment,
        entry_hosts,
        data_centres,
        client,
        token_prefix: format!("{:016x}.", rand::random::<u64>()),
        started_at: Instant::now(),
        started_unix_seconds: SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_secs()),
        in_flight: Mutex::default(),
        attempts: Mutex::default(),
        late_starts: AtomicUsize::new(0),
        ended_requests: AtomicUsize::new(0),
    };
    run.send_all(&planned);
    Recording {
        elapsed: run.started_at.elapsed(),
        token_prefix: run.token_prefix,
        attempts: run.attempts.into_inner().unwrap(),
        late_starts: run.late_starts.into_inner(),
    }
}

/// Returns the data centre that an entry host reports, or `None` if the host does not answer.
fn fetch_data_centre(client: &Client, entry: SocketAddr) -> Option<String> {
    let deadline = Instant::now() + REPLY_GRACE;
    let request = ClientRequest::new(Method::GET, format!("http://{entry}/live"), deadline);
    let response = client.send(request).ok()?;
    response.header(headers::DATA_CENTRE).map(str::to_owned)
}

impl Run<'_> {
    fn send_all(&self, planned: &[PlannedRequest]) {
        let next = AtomicUsize::new(0);
        let finished = AtomicBool::new(false);
        thread::scope(|scope| {
            if std::io::stderr().is_terminal() {
                scope.spawn(|| self.show_progress(planned.len(), &finished));
            }
            for burst in &self.experiment.cancellations {
                scope.spawn(|| self.send_cancellations(burst));
            }
            let senders = self.experiment.max_in_flight.min(planned.len());
            let handles: Vec<_> = (0..senders)
                .map(|_| {
                    let sender = || {
                        while let Some(request) = planned.get(next.fetch_add(1, Ordering::Relaxed))
                        {
                            self.send_planned(request);
                        }
                    };
                    thread::Builder::new()
                        .stack_size(SENDER_STACK_BYTES)
                        .spawn_scoped(scope, sender)
                        .expect("threads for max_in_flight requests are available")
                })
                .collect();
            for handle in handles {
                let _ = handle.join();
            }
            finished.store(true, Ordering::Release);
        });
    }

    fn show_progress(&self, total: usize, finished: &AtomicBool) {
        while !finished.load(Ordering::Acquire) {
            let seconds = self.started_at.elapsed().as_secs();
            let ended = self.ended_requests.load(Ordering::Relaxed);
            let late = self.late_starts.load(Ordering::Relaxed);
            eprint!("\r{seconds:>4} s  {ended:>8} of {total} requests ended, {late} started late");
            thread::sleep(PROGRESS_INTERVAL);
        }
        eprintln!();
    }

    fn send_planned(&self, planned: &PlannedRequest) {
        let planned_at = self.started_at + Duration::from_micros(planned.at_us);
        thread::sleep(planned_at.saturating_duration_since(Instant::now()));
        if planned_at.elapsed() > LATE_START_THRESHOLD {
            self.late_starts.fetch_add(1, Ordering::Relaxed);
        }
        let workload = &self.experiment.workloads[planned.workload];
        let key = self.key(planned);
        if let Some(key) = &key {
            let entry = (planned.number, planned.workload);
            self.in_flight.lock().unwrap().insert(key.clone(), entry);
        }
        let retries = if key.is_some() { workload.retries } else { 0 };
        for attempt in 0..=retries {
            let result = self.send_attempt(planned, key.as_deref(), attempt as usize, planned_at);
            let unknown = result
                .verdict
                .is_none_or(|verdict| verdict == Verdict::MayHaveRun);
            self.attempts.lock().unwrap().push(result);
            if !unknown {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        if let Some(key) = key {
            self.in_flight.lock().unwrap().swap_remove(&key);
        }
        self.ended_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the key of a request that is not idempotent. Idempotent requests carry none, nor do
    /// others when no data centre is known.
    fn key(&self, planned: &PlannedRequest) -> Option<String> {
        if planned.idempotent || self.data_centres.is_empty() {
            return None;
        }
        let home = &self.data_centres[planned.number % self.data_centres.len()];
        let issued = self.started_unix_seconds + planned.first_at_us / 1_000_000;
        Some(format!("{home}.{issued}.{}", self.token(planned.number)))
    }

    fn token(&self, number: usize) -> String {
        format!("{}{number}", self.token_prefix)
    }

    fn send_attempt(
        &self,
        planned: &PlannedRequest,
        key: Option<&str>,
        attempt: usize,
        planned_at: Instant,
    ) -> Attempt {
        let workload = &self.experiment.workloads[planned.workload];
        let first_entry = planned.number + usize::from(planned.duplicate) + attempt;
        let payload = self
            .experiment
            .payload(planned, &self.token(planned.number));
        let timeout = Duration::from_millis(workload.timeout_ms);
        let mut request =
            ClientRequest::new(Method::POST, "", Instant::now() + timeout + REPLY_GRACE)
                .header(headers::SERVICE, &workload.service)
                .header(headers::MEMBER, &workload.member)
                .header(
                    headers::CALLER,
                    format!("{}-{}", workload.member, planned.caller),
                )
                .header(headers::URGENCY, workload.urgency.to_string())
                .header(headers::TIMEOUT_MS, workload.timeout_ms.to_string())
                .header(headers::IDEMPOTENT, key.is_none().to_string());
        if let Some(key) = key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        request.body = serde_json::to_vec(&payload).unwrap_or_default();
        let started_us = self.started_at.elapsed().as_micros() as u64;
        let response = self.send_through_balancer(&request, first_entry);
        let field = |name| response.as_ref().and_then(|response| response.header(name));
        Attempt {
            number: planned.number,
            workload: planned.workload,
            idempotent: key.is_none(),
            verdict: field(headers::VERDICT).and_then(|text| text.parse().ok()),
            status: response.as_ref().map_or(0, |response| response.status),
            answer_is_valid: response
                .as_ref()
                .is_none_or(|response| is_valid(response, &payload.answer())),
            wait_us: field(headers::WAIT_US).and_then(|text| text.parse().ok()),
            latency_us: planned_at.elapsed().as_micros() as u64,
            started_us,
            ended_us: self.started_at.elapsed().as_micros() as u64,
            cancellation: false,
        }
    }

    /// Sends the request to an entry host, and to the next one as long as it could not be sent, as
    /// the platform's load balancer does.
    fn send_through_balancer(
        &self,
        request: &ClientRequest,
        first_entry: usize,
    ) -> Option<ClientResponse> {
        for offset in 0..self.entry_hosts.len() {
            let entry = self.entry_hosts[(first_entry + offset) % self.entry_hosts.len()];
            let mut request = request.clone();
            request.url = format!("http://{entry}/v1/requests");
            match self.client.send(request) {
                Ok(response) => return Some(response),
                Err(error) => {
                    log::debug!("request to an entry host failed: {error}");
                    if !matches!(error, ClientError::NotSent { .. }) {
                        return None;
                    }
                }
            }
        }
        None
    }

    fn send_cancellations(&self, burst: &CancellationBurst) {
        let at = self.started_at + Duration::from_secs_f64(burst.at_seconds);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let mut rng = StdRng::seed_from_u64(self.experiment.seed);
        let mut chosen: Vec<(String, (usize, usize))> = Vec::new();
        for (key, request) in self.in_flight.lock().unwrap().iter() {
            let member = &self.experiment.workloads[request.1].member;
            if *member == burst.member && rng.random_range(0..1_000) < burst.permille {
                chosen.push((key.clone(), *request));
            }
        }
        let next = AtomicUsize::new(0);
        thread::scope(|scope| {
            for _ in 0..CANCELLATION_THREADS {
                scope.spawn(|| {
                    while let Some((key, request)) =
                        chosen.get(next.fetch_add(1, Ordering::Relaxed))
                    {
                        self.cancel(key, *request);
                    }
                });
            }
        });
    }

    fn cancel(&self, key: &str, (number, workload): (usize, usize)) {
        let entry = self.entry_hosts[number % self.entry_hosts.len()];
        let url = format!("http://{entry}/v1/requests/{key}");
        let request = ClientRequest::new(Method::DELETE, url, Instant::now() + REPLY_GRACE);
        let sent_at = Instant::now();
        let Ok(response) = self.client.send(request) else {
            return;
        };
        if response.status != 200 {
            return;
        }
        self.attempts.lock().unwrap().push(Attempt {
            number,
            workload,
            idempotent: false,
            verdict: Some(Verdict::DidNotRun),
            status: response.status,
            answer_is_valid: true,
            wait_us: None,
            latency_us: sent_at.elapsed().as_micros() as u64,
            started_us: sent_at
                .saturating_duration_since(self.started_at)
                .as_micros() as u64,
            ended_us: self.started_at.elapsed().as_micros() as u64,
            cancellation: true,
        });
    }
}

fn is_valid(response: &ClientResponse, expected: &[u8]) -> bool {
    response.status != 200 || response.body == expected
}
