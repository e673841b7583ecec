//! Starts a small deployment: hosts with the command of the deploy file, and runners.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};
use crate::runner::unix_ms;

const PROGRAM: &str = "target/release/jujubewinch";
const ARGUMENTS: [&str; 2] = ["--log-json", "cell"];
pub const ROUTE_HOST: &str = "orders.example";
pub const PREFIX: &str = "/q/";
/// Queue of the least urgent jobs, on the same service.
pub const BULK_PREFIX: &str = "/bulk/";
pub const SERVICE: &str = "desk";
const ZONES: [&str; 3] = ["east", "west", "south"];
const MAX_HOLD_MS: u64 = 10_000;

pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    pub fn new(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self {
            file,
            began: Instant::now(),
        }
    }
    pub fn line(&mut self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file, "{at:8.3} s  {text}");
        println!("{at:8.3} s  {text}");
    }
}

#[derive(Clone)]
struct Ports {
    peers: u16,
    control: u16,
    callers: u16,
    ready: u16,
}

pub struct Cell {
    pub folder: String,
    ports: Ports,
    core: Vec<IpAddr>,
    fronts: Vec<IpAddr>,
    hosts: BTreeMap<String, Child>,
    runners: BTreeMap<String, Child>,
    runner_options: BTreeMap<String, (SocketAddr, String, String)>,
}

/// A start or an end in the log of a runner.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub runner: String,
    pub what: String,
    pub task: String,
    pub run: u64,
    pub how: String,
}

impl Cell {
    /// Starts three storage hosts and some entry hosts, and sends the configuration.
    pub fn start(record: &mut Record, entry_hosts: usize) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let folder = folder.to_str()?.to_owned();
        fs::create_dir_all(&folder).ok()?;
        let ip = |text: String| text.parse::<IpAddr>().ok();
        let net = 10 + std::process::id() % 200;
        let core: Vec<IpAddr> = (1..=3)
            .filter_map(|n| ip(format!("127.{net}.0.{n}")))
            .collect();
        let fronts: Vec<IpAddr> = (1..=entry_hosts)
            .filter_map(|n| ip(format!("127.{net}.1.{n}")))
            .collect();
        let all: Vec<IpAddr> = core.iter().chain(&fronts).copied().collect();
        let ports = Ports {
            peers: free_port(&all)?,
            control: free_port(&all)?,
            callers: free_port(&all)?,
            ready: free_port(&all)?,
        };
        let mut cell = Self {
            folder,
            ports,
            core,
            fronts,
            hosts: BTreeMap::new(),
            runners: BTreeMap::new(),
            runner_options: BTreeMap::new(),
        };
        for (position, ip) in all.iter().enumerate() {
            cell.start_host(*ip, position < 3, position)?;
        }
        let config = format!(
            "{{\"version\":1,\"routes\":[{},{}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"enforce_capacity\":false,\"standby\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            route("r-0", PREFIX, 0),
            route("r-2", BULK_PREFIX, 2)
        );
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            for address in cell.control() {
                let answer = http::call(
                    address,
                    "PUT",
                    "/api/config",
                    &[],
                    &config,
                    Duration::from_secs(1),
                );
                if let Some((200, _)) = answer {
                    record.line("configuration 1 acknowledged");
                    return Some(cell);
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        record.line("the configuration was not acknowledged within 20 s");
        None
    }

    fn start_host(&mut self, ip: IpAddr, stores: bool, position: usize) -> Option<()> {
        let name = format!("{}-{}", if stores { "core" } else { "front" }, position);
        let Ports {
            peers,
            control,
            callers,
            ready,
        } = self.ports.clone();
        let mut text = format!(
            "[host]\naddress = \"{ip}\"\nname = \"{name}\"\ndata_centre = \"{}\"\n",
            ZONES[position % 3]
        );
        if stores {
            text += &format!("data_folder = \"{}/{name}/log\"\n", self.folder);
        }
        text += &format!("[listeners]\npeers = \"{ip}:{peers}\"\n");
        text += &if stores {
            format!("control = \"{ip}:{control}\"\n")
        } else {
            format!("callers = \"{ip}:{callers}\"\nreadiness = \"{ip}:{ready}\"\n")
        };
        let seeds: Vec<String> = self
            .core
            .iter()
            .map(|ip| format!("\"{ip}:{control}\""))
            .collect();
        text += &format!(
            "[cell]\nseeds = [{}]\nforms_new_cell = true\ntolerated_losses = 1\n\
             [timing]\nmax_worker_lease_ms = {MAX_HOLD_MS}\nstop_grace_ms = 6000\njob_retention_ms = 120000\n",
            seeds.join(", ")
        );
        let path = format!("{}/{name}.toml", self.folder);
        fs::write(&path, text).ok()?;
        let log = File::create(format!("{}/{name}.out", self.folder)).ok()?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("JUJUBEWINCH_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        self.hosts.insert(name, child);
        Some(())
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        self.core
            .iter()
            .map(|ip| SocketAddr::new(*ip, self.ports.control))
            .collect()
    }

    pub fn front(&self, position: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[position], self.ports.callers)
    }

    /// Registers a runner in a zone and starts it, with the time of day of its machine right.
    pub fn add_runner(&mut self, id: &str, zone: usize, label: &str) -> Option<()> {
        let ip = self.core[zone % 3];
        let ip: IpAddr = ip.to_string().replacen(".0.", ".2.", 1).parse().ok()?;
        let address = SocketAddr::new(ip, free_port(&[ip])?);
        self.runner_options.insert(
            id.to_owned(),
            (address, ZONES[zone % 3].to_owned(), label.to_owned()),
        );
        self.start_runner(id, 0)
    }

    /// Starts a process for a runner, also after a crash, at the same address. The time of day of
    /// its machine is ahead by so much.
    pub fn start_runner(&mut self, id: &str, ahead_ms: u64) -> Option<()> {
        let (address, zone, label) = self.runner_options.get(id)?;
        let control: Vec<String> = self.control().iter().map(ToString::to_string).collect();
        let program = std::env::current_exe().ok()?;
        let child = Command::new(program)
            .args(["runner", id, &address.to_string(), zone, SERVICE, label])
            .args([&control.join(","), &MAX_HOLD_MS.to_string()])
            .arg(format!("{}/runner-{id}.log", self.folder))
            .arg(ahead_ms.to_string())
            .stdin(Stdio::null())
            .spawn()
            .ok()?;
        self.runners.insert(id.to_owned(), child);
        Some(())
    }

    pub fn runner_address(&self, id: &str) -> SocketAddr {
        self.runner_options[id].0
    }

    pub fn runner_zone(&self, id: &str) -> String {
        self.runner_options[id].1.clone()
    }

    /// Kills a runner, as in a crash, and waits for its end.
    pub fn kill_runner(&mut self, id: &str) {
        if let Some(mut child) = self.runners.remove(id) {
            let _ = child.kill();
            let _ = child.wait();
            let path = format!("{}/runner-{id}.log", self.folder);
            if let Ok(mut log) = fs::OpenOptions::new().append(true).open(path) {
                let _ = writeln!(log, "{} down", unix_ms());
            }
        }
    }

    /// Sends a signal to a host or a runner by its name.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = self.hosts.get(name).or_else(|| self.runners.get(name)) {
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &child.id().to_string()])
                .status();
        }
    }

    /// What the runners have logged, in the order of time.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for runner in self.runner_options.keys() {
            let path = format!("{}/runner-{runner}.log", self.folder);
            for line in fs::read_to_string(path).unwrap_or_default().lines() {
                let words: Vec<&str> = line.split_whitespace().collect();
                let word = |position: usize| words.get(position).copied().unwrap_or_default();
                events.push(Event {
                    at_ms: word(0).parse().unwrap_or(0),
                    runner: runner.clone(),
                    what: word(1).to_owned(),
                    task: word(2).to_owned(),
                    run: word(3).parse().unwrap_or(0),
                    how: word(4).to_owned(),
                });
            }
        }
        events.sort_by_key(|event| event.at_ms);
        events
    }

    /// Waits until more than `before` starts have been logged, and returns the latest.
    pub fn await_start(&self, before: usize, limit: Duration) -> Option<Event> {
        let began = Instant::now();
        while began.elapsed() < limit {
            let events = self.events();
            let starts: Vec<&Event> = events
                .iter()
                .filter(|event| event.what == "start")
                .collect();
            if starts.len() > before {
                return starts.last().map(|event| (*event).clone());
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Calls an entry host about a job, as a client does: with a deadline of 3 s.
    pub fn job(&self, front: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [("host", ROUTE_HOST), ("request-deadline", "3000")];
        let path = format!("{PREFIX}{id}");
        http::call(
            self.front(front),
            method,
            &path,
            &headers,
            body,
            Duration::from_secs(3),
        )
    }

    /// Submits a job, again while there is no clear answer, and returns whether it was accepted.
    pub fn submit(&self, record: &mut Record, id: &str, body: &str) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            let answer = self.job(0, "POST", id, body);
            record.line(&format!("POST {id} at entry host 0: {answer:?}"));
            if let Some((200, _)) = answer {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// State of a job as an entry host shows it; empty without a clear answer.
    pub fn state(&self, id: &str) -> String {
        match self.job(1, "GET", id, "") {
            Some((200, text)) => {
                let text = json::parse(&text).unwrap_or(Value::Null);
                text.text("state").unwrap_or_default().to_owned()
            }
            Some((410, _)) => "gone".to_owned(),
            _ => String::new(),
        }
    }

    pub fn record_events(&self, record: &mut Record) {
        record.line("what the runners ran (Unix milliseconds):");
        for event in self.events() {
            let Event {
                at_ms,
                runner,
                what,
                task,
                run,
                how,
            } = event;
            record.line(&format!(
                "  {at_ms} runner {runner}: {what} {task} run {run} {how}"
            ));
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in self.hosts.values_mut().chain(self.runners.values_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn route(name: &str, prefix: &str, priority: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"path_prefix\":\"{prefix}\",\"route_type\":\"unsafe\",\
         \"timeout_ms\":3000,\"target_latency_ms\":1200,\"priority\":{priority},\"service\":\"{SERVICE}\",\
         \"max_attempts\":4,\"slack_factor\":2.2}}"
    )
}

/// A port that is free on all of the addresses.
fn free_port(ips: &[IpAddr]) -> Option<u16> {
    for _ in 0..50 {
        let first = TcpListener::bind(SocketAddr::new(*ips.first()?, 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        let others = ips.iter().skip(1);
        if others
            .map(|ip| TcpListener::bind(SocketAddr::new(*ip, port)))
            .all(|bound| bound.is_ok())
        {
            return Some(port);
        }
    }
    None
}
