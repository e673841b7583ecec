//! Measures the cost of the request path of one entry host in comparison to direct calls to equal
//! stand-in runners, and the cost of cancelling many queued requests. Takes about 15 s.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::clock::Clock;
use jujubewinch::entry_host::EntryHost;
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use jujubewinch::options::settings::{LimitSettings, TimingSettings};
use jujubewinch::placer::journal::Journal;
use jujubewinch::placer::links::http_exchange;
use jujubewinch::placer::{Placer, PlacerOptions};
use jujubewinch::protocol::caller::{Submission, Urgency};
use jujubewinch::protocol::headers;
use jujubewinch::protocol::worker::RunnerCapacity;
use jujubewinch::resources::Resources;

const SETTINGS: &str = include_str!("../tests/settings/valid/single.toml");
const RUNNERS: usize = 6;
const SLOTS: u32 = 8;
/// Concurrent clients, each of which sends one request after the other.
const CLIENTS: usize = 32;
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_millis(1_200);
const CANCELLATIONS: usize = 20_000;

struct Round {
    per_second: f64,
    latency_us: Histogram<u64>,
}

fn main() {
    let host = EntryHost::start(Settings::parse(SETTINGS, "single.toml").unwrap()).unwrap();
    let entry = host.caller_address();
    let served: Vec<Agent> = (0..RUNNERS)
        .map(|index| runner(index, vec![entry]))
        .collect();
    // Runners that know the placer would refuse direct calls, which carry an epoch of their own.
    let direct: Vec<Agent> = (0..RUNNERS)
        .map(|index| runner(index, Vec::new()))
        .collect();
    let addresses: Vec<SocketAddr> = direct.iter().map(Agent::address).collect();
    let client = Client::new(ClientOptions {
        max_idle_connections_per_host: CLIENTS,
        ..ClientOptions::default()
    });
    wait_for_runners(&client, entry);
    let (mut direct_rounds, mut entry_rounds) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        direct_rounds.push(round(&client, &|index| call_runner(&addresses, index)));
        entry_rounds.push(round(&client, &|_| call_entry(entry)));
    }
    let (direct_rate, direct_p50, direct_p99) = report("direct", &mut direct_rounds);
    let (entry_rate, entry_p50, entry_p99) = report("entry host", &mut entry_rounds);
    println!(
        "entry host / direct: rate {:.2}, added p50 {:.0} us, added p99 {:.0} us",
        entry_rate / direct_rate,
        entry_p50 - direct_p50,
        entry_p99 - direct_p99
    );
    drop(served);
    measure_cancellations();
}

fn runner(index: usize, entry_hosts: Vec<SocketAddr>) -> Agent {
    Agent::start(AgentOptions {
        worker: format!("worker-{index}"),
        data_centre: "erdenet".to_owned(),
        rack: "rack-1".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        entry_hosts,
        resources: Resources::ZERO,
        runner: Some(RunnerCapacity {
            service: "quotes".to_owned(),
            slots: SLOTS,
            connections: 64,
        }),
    })
    .unwrap()
}

fn call_runner(addresses: &[SocketAddr], index: usize) -> ClientRequest {
    let address = addresses[index % addresses.len()];
    let id = rand::random::<u128>();
    let url = format!("http://{address}/v1/tasks/{id:032x}?wait_ms=1000");
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut request = ClientRequest::new(Method::PUT, url, deadline).header(headers::EPOCH, "1");
    request.body = b"three wheels".to_vec();
    request
}

fn call_entry(entry: SocketAddr) -> ClientRequest {
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut request = ClientRequest::new(
        Method::POST,
        format!("http://{entry}/v1/requests"),
        deadline,
    )
    .header(headers::SERVICE, "quotes")
    .header(headers::IDEMPOTENT, "true");
    request.body = b"three wheels".to_vec();
    request
}

fn wait_for_runners(client: &Client, entry: SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while Instant::now() < deadline {
        if client
            .send(call_entry(entry))
            .is_ok_and(|response| response.status == 200)
        {
            return;
        }
    }
    panic!("no runner announced itself");
}

fn round(client: &Client, request: &(impl Fn(usize) -> ClientRequest + Sync)) -> Round {
    let began_at = Instant::now();
    let ends_at = began_at + ROUND;
    let mut latency_us = histogram();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                scope.spawn(move || {
                    let mut latency_us = histogram();
                    while Instant::now() < ends_at {
                        let sent_at = Instant::now();
                        let response = client.send(request(index)).expect("a response");
                        assert_eq!(response.body, b"three wheels");
                        latency_us.saturating_record(sent_at.elapsed().as_micros() as u64);
                    }
                    latency_us
                })
            })
            .collect();
        for client in clients {
            latency_us.add(client.join().unwrap()).unwrap();
        }
    });
    Round {
        per_second: latency_us.len() as f64 / began_at.elapsed().as_secs_f64(),
        latency_us,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap()
}

/// Prints and returns the medians over the rounds of the rate and of the latencies p50 and p99.
fn report(name: &str, rounds: &mut [Round]) -> (f64, f64, f64) {
    let mut median = |value: &dyn Fn(&Round) -> f64| {
        rounds.sort_by(|first, second| value(first).total_cmp(&value(second)));
        value(&rounds[rounds.len() / 2])
    };
    let rate = median(&|round| round.per_second);
    let p50 = median(&|round| round.latency_us.value_at_quantile(0.5) as f64);
    let p99 = median(&|round| round.latency_us.value_at_quantile(0.99) as f64);
    println!("{name:12} {rate:8.0} requests/s  p50 {p50:6.0} us  p99 {p99:6.0} us");
    (rate, p50, p99)
}

fn measure_cancellations() {
    let placer = Placer::new(PlacerOptions {
        request_policy: jujubewinch::scheduling::request_queue::policy::RequestPolicyName::default(
        ),
        data_centre: "erdenet".to_owned(),
        limits: LimitSettings {
            max_queued_requests: CANCELLATIONS,
            ..LimitSettings::default()
        },
        timing: TimingSettings::default(),
        clock: Clock::system(),
        journal: Journal::in_memory(1),
        exchange: http_exchange(),
    });
    let submissions: Vec<Submission> = (0..CANCELLATIONS).map(queued_submission).collect();
    let began_at = Instant::now();
    let pending: Vec<_> = submissions
        .iter()
        .map(|submission| placer.start(submission).expect("the queue has room"))
        .collect();
    let admitted = began_at.elapsed();
    let began_at = Instant::now();
    for submission in &submissions {
        assert!(placer.cancel(&submission.key));
    }
    let cancelled = began_at.elapsed();
    let began_at = Instant::now();
    for pending in pending {
        assert!(pending.wait().is_err());
    }
    let per_request = |time: Duration| time.as_secs_f64() * 1e6 / CANCELLATIONS as f64;
    println!(
        "{CANCELLATIONS} waiting requests: admission {:.2} us, cancellation {:.2} us, \
         outcome {:.2} us each",
        per_request(admitted),
        per_request(cancelled),
        per_request(began_at.elapsed())
    );
}

fn queued_submission(index: usize) -> Submission {
    Submission {
        key: format!("wave-{index}"),
        member: format!("member-{}", index % 8),
        caller: "workshop".to_owned(),
        service: "quotes".to_owned(),
        idempotent: true,
        urgency: Urgency::Normal,
        deadline: Instant::now() + Duration::from_secs(60),
        payload: b"three wheels".to_vec(),
    }
}
