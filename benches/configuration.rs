//! Benchmark of the replicated configuration on 8 entry hosts in one process, with the delays of
//! the links between data centres and regions. The benchmark runs for about 60 s.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::Method;
use jujubewinch::entry_host::{EntryHost, StartOptions};
use jujubewinch::http::client::ClientRequest;
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use jujubewinch::peer::LinkConditions;
use serde_json::json;
use tempfile::TempDir;

/// Region of each host; every host is in a separate data centre.
const REGIONS: [&str; 8] = [
    "orkhon", "orkhon", "orkhon", "selenge", "selenge", "selenge", "khentii", "khentii",
];
/// Positions of the voters, one in each region.
const VOTERS: [usize; 3] = [0, 3, 6];
const HOSTS: usize = REGIONS.len();
const DELAY_WITHIN_REGION: Duration = Duration::from_micros(1_400);
const DELAY_BETWEEN_REGIONS: Duration = Duration::from_millis(30);
/// Number of changes whose propagation is measured.
const CHANGES: u64 = 200;
/// Number of changes that the stopped host misses before its catch-up is measured.
const MISSED_CHANGES: u64 = 500;
const LEADER_LOSSES: usize = 2;
const IDLE_DURATION: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(30);
/// Expected number of changes in a day.
const DAILY_CHANGES: f64 = 2_400.0;
const DAY_SECONDS: f64 = 86_400.0;

struct Cell {
    folder: TempDir,
    peers: Vec<SocketAddr>,
    links: Arc<LinkConditions>,
    hosts: Vec<Option<EntryHost>>,
    client: Client,
    /// Number of accepted changes.
    version: u64,
}

fn settings(folder: &Path, peers: &[SocketAddr], position: usize) -> Settings {
    let mut text = format!(
        "[host]\nid = \"host-{position}\"\ndata_folder = {:?}\n\
         [listeners]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"{}\"\n\
         [cell]\nname = \"bench\"\n",
        folder.join(position.to_string()),
        peers[position]
    );
    for (number, (region, address)) in REGIONS.iter().zip(peers).enumerate() {
        text += &format!(
            "[[cell.hosts]]\nid = \"host-{number}\"\ndata_centre = \"dc-{number}\"\n\
             region = \"{region}\"\npeers = \"{address}\"\nvotes = {}\n",
            VOTERS.contains(&number)
        );
    }
    Settings::parse(&text, "bench.toml").unwrap()
}

fn set_delays(links: &LinkConditions, within_region: Duration, between_regions: Duration) {
    for (one, region) in REGIONS.iter().enumerate() {
        for (other, other_region) in REGIONS[..one].iter().enumerate() {
            let delay = if region == other_region {
                within_region
            } else {
                between_regions
            };
            links.set_delay(&format!("host-{one}"), &format!("host-{other}"), delay);
        }
    }
}

impl Cell {
    fn start() -> Self {
        let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let listeners: Vec<TcpListener> = (0..HOSTS).map(bind).collect();
        let address = |listener: &TcpListener| listener.local_addr().unwrap();
        let peers = listeners.iter().map(address).collect();
        drop(listeners);
        let mut cell = Self {
            folder: TempDir::new().unwrap(),
            peers,
            links: Arc::default(),
            hosts: Vec::new(),
            client: Client::new(ClientOptions::default()),
            version: 0,
        };
        set_delays(&cell.links, DELAY_WITHIN_REGION, DELAY_BETWEEN_REGIONS);
        for position in 0..HOSTS {
            let host = cell.start_host(position);
            cell.hosts.push(Some(host));
        }
        cell.change(0);
        cell.wait_for_all_hosts();
        cell
    }

    fn start_host(&self, position: usize) -> EntryHost {
        let settings = settings(self.folder.path(), &self.peers, position);
        let conditions = StartOptions {
            links: Some(Arc::clone(&self.links)),
            ..StartOptions::default()
        };
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match EntryHost::start_with_options(settings.clone(), conditions.clone()) {
                Ok(host) => return host,
                Err(error) => assert!(Instant::now() < deadline, "host {position}: {error}"),
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn running(&self) -> impl Iterator<Item = &EntryHost> {
        self.hosts.iter().flatten()
    }

    /// Makes one change at a host, and resends the change with the same id until it is accepted.
    fn change(&mut self, at: usize) {
        let version = self.version;
        let body = json!({
            "change_id": format!("change-{version}"), "expected_version": version,
            "reason": "measurement of the time to take effect", "author": "saran",
            "value": 1 + version % 90,
        });
        let deadline = Instant::now() + TIMEOUT;
        let address = self.hosts[at]
            .as_ref()
            .expect("the host runs")
            .admin_address();
        let url = format!("http://{address}/v1/defaults/retry.budget_percent");
        loop {
            let mut request = ClientRequest::new(Method::PUT, url.clone(), deadline);
            request.body = body.to_string().into_bytes();
            let response = self.client.send(request).unwrap();
            if response.status == 200 {
                break;
            }
            assert!(Instant::now() < deadline, "not accepted in time");
            thread::sleep(Duration::from_millis(10));
        }
        self.version += 1;
    }

    /// Waits until all running hosts have applied the latest version, and returns the elapsed time.
    fn wait_for_all_hosts(&self) -> Duration {
        let start = Instant::now();
        let behind = |host: &EntryHost| host.configuration().read().version() < self.version;
        while self.running().any(behind) {
            assert!(start.elapsed() < TIMEOUT, "not in effect in time");
            thread::sleep(Duration::from_micros(500));
        }
        start.elapsed()
    }

    fn leader(&self) -> usize {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let host = self.hosts[1].as_ref().expect("host 1 is never stopped");
            let status = host.configuration_status().unwrap();
            let leads = |position: &usize| status.leader == Some(format!("host-{position}"));
            if let Some(leader) = VOTERS.into_iter().find(leads) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the bytes that each host has sent.
    fn sent_bytes(&self) -> Vec<u64> {
        let hosts = 0..HOSTS;
        hosts
            .map(|host| self.links.sent_bytes(&format!("host-{host}")))
            .collect()
    }
}

fn main() {
    // `cargo test --benches` runs benchmarks without `--bench`, only to check that they build.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let mut cell = Cell::start();
    println!("measure                                             value");
    idle(&cell);
    propagation(&mut cell);
    let after = resident_kib();
    row(
        "memory of a host, after the first changes",
        &format!("{:.1} MiB", after as f64 / 1024.0 / HOSTS as f64),
    );
    catch_up(&mut cell);
    leader_loss(&mut cell);
    cell.running().for_each(EntryHost::stop);
}

fn row(name: &str, value: &str) {
    println!("{name:<50}  {value}");
}

/// Measures the traffic and the CPU time of idle hosts.
fn idle(cell: &Cell) {
    let (leader, seconds) = (cell.leader(), IDLE_DURATION.as_secs_f64());
    let (sent, cpu) = (cell.sent_bytes(), cpu_seconds());
    thread::sleep(IDLE_DURATION);
    let rates: Vec<f64> = (cell.sent_bytes().iter().zip(&sent))
        .map(|(after, before)| (after - before) as f64 / seconds)
        .collect();
    let cpu_share = (cpu_seconds() - cpu) / seconds / HOSTS as f64;
    let max = rates.iter().copied().fold(0.0, f64::max);
    let mean = rates.iter().sum::<f64>() / HOSTS as f64;
    row(
        "idle, sent by the leader",
        &format!("{:.0} B/s", rates[leader]),
    );
    row(
        "idle, sent by a host: mean, most",
        &format!("{mean:.0} B/s, {max:.0} B/s"),
    );
    row(
        "idle, CPU of a host, mean",
        &format!("{:.2}% of a core", cpu_share * 100.0),
    );
}

/// Measures the time from acceptance until all hosts have applied a change, and the cost of a
/// change.
fn propagation(cell: &mut Cell) {
    let mut effect_us = Histogram::<u64>::new(3).unwrap();
    let mut accepted_us = Histogram::<u64>::new(3).unwrap();
    let mut both_us = Histogram::<u64>::new(3).unwrap();
    let leader = cell.leader();
    let (sent, cpu, start) = (cell.sent_bytes(), cpu_seconds(), Instant::now());
    for number in 0..CHANGES {
        let at = number as usize % HOSTS;
        let asked = Instant::now();
        cell.change(at);
        accepted_us
            .record(asked.elapsed().as_micros() as u64)
            .unwrap();
        effect_us
            .record(cell.wait_for_all_hosts().as_micros() as u64)
            .unwrap();
        both_us.record(asked.elapsed().as_micros() as u64).unwrap();
    }
    let ms = |histogram: &Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    for (name, histogram) in [
        ("from request to acceptance, p50, p99", &accepted_us),
        ("from acceptance to effect everywhere, p50, p99", &effect_us),
        ("from request to effect everywhere, p50, p99", &both_us),
    ] {
        let value = format!(
            "{:.1} ms, {:.1} ms",
            ms(histogram, 0.5),
            ms(histogram, 0.99)
        );
        row(name, &value);
    }
    let changes = CHANGES as f64;
    let leader_bytes = (cell.sent_bytes()[leader] - sent[leader]) as f64 / changes;
    let per_change = (cpu_seconds() - cpu) / changes / HOSTS as f64;
    row(
        "bytes of the leader, per change",
        &format!(
            "{leader_bytes:.0} B in {:.1} s",
            start.elapsed().as_secs_f64()
        ),
    );
    row(
        "CPU of a host, per change",
        &format!("{:.2} ms", per_change * 1_000.0),
    );
    row(
        "at 2,400 changes a day, added to idle",
        &format!(
            "{:.1} B/s of the leader, {:.4}% of a core",
            leader_bytes * DAILY_CHANGES / DAY_SECONDS,
            per_change * DAILY_CHANGES / DAY_SECONDS * 100.0
        ),
    );
}

/// Measures the catch-up of a host that was stopped, and the memory that changes occupy.
fn catch_up(cell: &mut Cell) {
    let stopped = 7;
    cell.hosts[stopped].take().expect("the host runs").stop();
    let leader = cell.leader();
    let memory = resident_kib();
    // The propagation of these changes is not measured, so the links need no delay.
    set_delays(&cell.links, Duration::ZERO, Duration::ZERO);
    for _ in 0..MISSED_CHANGES {
        cell.change(leader);
    }
    cell.wait_for_all_hosts();
    set_delays(&cell.links, DELAY_WITHIN_REGION, DELAY_BETWEEN_REGIONS);
    let grown = resident_kib().saturating_sub(memory) as f64;
    let per_thousand = grown * 1_000.0 / MISSED_CHANGES as f64 / (HOSTS - 1) as f64;
    let name = format!("host-{stopped}");
    let leader_sent = |cell: &Cell| cell.links.sent_bytes_to(&format!("host-{leader}"), &name);
    let (before, start) = (leader_sent(cell), Instant::now());
    let host = cell.start_host(stopped);
    cell.hosts[stopped] = Some(host);
    cell.wait_for_all_hosts();
    row(
        "start and catch-up after 500 changes",
        &format!(
            "{:.0} ms, {} bytes",
            start.elapsed().as_secs_f64() * 1e3,
            leader_sent(cell) - before
        ),
    );
    row(
        "memory of a host per 1,000 changes",
        &format!("{per_thousand:.0} KiB"),
    );
}

/// Measures the time from the loss of the leader until all running hosts have applied the next
/// change.
fn leader_loss(cell: &mut Cell) {
    let mut times = Vec::new();
    for _ in 0..LEADER_LOSSES {
        let leader = cell.leader();
        cell.hosts[leader].take().expect("the host runs").stop();
        let start = Instant::now();
        cell.change(1);
        cell.wait_for_all_hosts();
        times.push(format!("{:.1} s", start.elapsed().as_secs_f64()));
        let host = cell.start_host(leader);
        cell.hosts[leader] = Some(host);
        cell.wait_for_all_hosts();
    }
    row("no changes after the loss of the leader", &times.join(", "));
}

/// Returns the processor time of this process.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = |position: usize| -> f64 { fields.get(position).map_or(0.0, parse) };
    // User and system time, fields 14 and 15 of the whole line, in ticks of 10 ms.
    (ticks(12) + ticks(13)) / 100.0
}

fn parse(text: &&str) -> f64 {
    text.parse().unwrap_or(0.0)
}

/// Returns the resident memory of this process.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|text| text.parse().ok()).unwrap_or(0)
}
