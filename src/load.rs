//! Load generator with open-loop timing.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use indexmap::IndexMap;

use crate::agent::payload::StandInPayload;
use crate::http::client::ClientRequest;
use crate::http::{Client, ClientOptions};
use crate::protocol::headers;

/// Threads that send requests; bounds the requests in flight.
const SENDER_THREADS: usize = 128;
/// Longest time that the histograms tell apart, one hour.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Time beyond a request's own for its verdict to arrive.
const REPLY_GRACE: Duration = Duration::from_secs(2);

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Caller addresses, used in turn.
    pub entry_hosts: Vec<SocketAddr>,
    /// Service.
    pub service: String,
    /// Requests in all.
    pub requests: u64,
    /// Requests started per second.
    pub rate_per_second: u64,
    /// Execution time of each request.
    pub work: Duration,
    /// Time until a request becomes useless.
    pub timeout: Duration,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Time from admission to the start of execution, in microseconds.
    pub wait_us: Histogram<u64>,
    /// Time from the planned start to the answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Requests by verdict.
    pub verdicts: IndexMap<String, u64>,
    /// Answers that belong to another request or are not whole.
    pub broken_promises: u64,
}

impl LoadReport {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("valid bounds");
        Self {
            wait_us: histogram(),
            latency_us: histogram(),
            verdicts: IndexMap::new(),
            broken_promises: 0,
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, histogram) in [("wait", &self.wait_us), ("latency", &self.latency_us)] {
            write!(formatter, "{name:8}")?;
            for quantile in [0.5, 0.9, 0.99, 0.999] {
                let millis = histogram.value_at_quantile(quantile) as f64 / 1000.0;
                write!(formatter, "  p{} {millis:.2} ms", quantile * 100.0)?;
            }
            writeln!(formatter)?;
        }
        for (verdict, count) in &self.verdicts {
            writeln!(formatter, "{verdict:24} {count}")?;
        }
        Ok(())
    }
}

/// Sends all requests and waits for their outcomes.
pub fn run_load(options: &LoadOptions) -> LoadReport {
    let report = Mutex::new(LoadReport::new());
    let next = AtomicU64::new(0);
    let client = Client::new(ClientOptions {
        max_idle_connections_per_host: SENDER_THREADS,
        ..ClientOptions::default()
    });
    let started_at = Instant::now();
    thread::scope(|scope| {
        for _ in 0..SENDER_THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= options.requests {
                        return;
                    }
                    send_one(options, &client, index, started_at, &report);
                }
            });
        }
    });
    report
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn send_one(
    options: &LoadOptions,
    client: &Client,
    index: u64,
    started_at: Instant,
    report: &Mutex<LoadReport>,
) {
    let planned_at =
        started_at + Duration::from_secs_f64(index as f64 / options.rate_per_second as f64);
    thread::sleep(planned_at.saturating_duration_since(Instant::now()));
    let entry = options.entry_hosts[index as usize % options.entry_hosts.len()];
    let payload = StandInPayload {
        work_ms: u64::try_from(options.work.as_millis()).unwrap_or(u64::MAX),
        echo: format!("request {index}"),
        ..StandInPayload::default()
    };
    let deadline = Instant::now() + options.timeout + REPLY_GRACE;
    let mut request = ClientRequest::new(
        Method::POST,
        format!("http://{entry}/v1/requests"),
        deadline,
    )
    .header(headers::SERVICE, &options.service)
    .header(headers::IDEMPOTENT, "true")
    .header(headers::TIMEOUT_MS, options.timeout.as_millis().to_string());
    request.body = serde_json::to_vec(&payload).unwrap_or_default();
    let response = client.send(request);
    let latency_us = u64::try_from(planned_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    let mut report = report.lock().unwrap();
    report.latency_us.saturating_record(latency_us);
    let verdict = match response {
        Ok(response) => {
            if response.status == 200 && response.body != payload.answer() {
                report.broken_promises += 1;
            }
            if let Some(wait_us) = response
                .header(headers::WAIT_US)
                .and_then(|text| text.parse().ok())
            {
                report.wait_us.saturating_record(wait_us);
            }
            let verdict = response.header(headers::VERDICT).unwrap_or("none");
            format!("{verdict} {}", response.status)
        }
        Err(error) => {
            log::debug!("{error}");
            "no response".to_owned()
        }
    };
    *report.verdicts.entry(verdict).or_insert(0) += 1;
}
