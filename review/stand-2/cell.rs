//! A small cell of the project's programs, started with the command of the deploy file and with the
//! settings that `deploy/cell.toml.template` makes, and the calls of its clients and its operator.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cleanup;
use crate::http::{Message, call};
use crate::json::Json;
use crate::record::Record;

const ZONES: [&str; 3] = ["erdenet", "sukhbaatar", "chinggis"];
const STORAGE_HOSTS: usize = 3;
const HOSTS: usize = 10;
pub const HOST_NAME: &str = "desk.example";

/// Three storage hosts and seven entry hosts, each a process of its own.
pub struct Cell {
    folder: PathBuf,
    program: PathBuf,
    ports: [u16; 4],
    children: Vec<Option<Child>>,
    record: Arc<Record>,
}

impl Cell {
    /// Starts all hosts on free ports, with their files in a folder of their own.
    pub fn start(program: &Path, folder: &Path, record: &Arc<Record>) -> Result<Self, String> {
        let first = 20_000 + (std::process::id() % 20_000) as u16;
        let mut candidates = (first..60_000).step_by(4);
        let ports = candidates
            .find(|port| (1..=HOSTS).all(|host| (0..4).all(|add| is_free(host, port + add))))
            .ok_or("no free ports")?;
        let mut cell = Self {
            folder: folder.to_owned(),
            program: program.to_owned(),
            ports: [ports, ports + 1, ports + 2, ports + 3],
            children: (0..HOSTS).map(|_| None).collect(),
            record: Arc::clone(record),
        };
        for host in 1..=HOSTS {
            fs::write(cell.settings_path(host), cell.settings(host))
                .map_err(|it| it.to_string())?;
            cell.start_host(host)?;
        }
        Ok(cell)
    }

    fn settings_path(&self, host: usize) -> PathBuf {
        self.folder.join(format!("host-{host}.toml"))
    }

    fn settings(&self, host: usize) -> String {
        let [peers, callers, ready, control] = self.ports;
        let ip = ip(host);
        let zone = ZONES[(host - 1) % ZONES.len()];
        let seeds: Vec<String> = (1..=STORAGE_HOSTS)
            .map(|it| format!("\"{}:{control}\"", self::ip(it)))
            .collect();
        let (data, listeners) = if host <= STORAGE_HOSTS {
            let folder = self.folder.join(format!("disk-{host}"));
            (
                format!("data_folder = {folder:?}\n"),
                format!("control = \"{ip}:{control}\"\n"),
            )
        } else {
            (
                String::new(),
                format!("callers = \"{ip}:{callers}\"\nreadiness = \"{ip}:{ready}\"\n"),
            )
        };
        format!(
            "[host]\naddress = \"{ip}\"\nname = \"host-{host}\"\ndata_centre = \"{zone}\"\n{data}\n\
             [listeners]\npeers = \"{ip}:{peers}\"\n{listeners}\n\
             [cell]\nseeds = [{}]\nforms_new_cell = true\ntolerated_losses = 1\n\n\
             [timing]\nmax_worker_lease_ms = 10000\nstop_grace_ms = 6000\njob_retention_ms = 120000\n",
            seeds.join(", ")
        )
    }

    fn start_host(&mut self, host: usize) -> Result<(), String> {
        let log = fs::File::create(self.folder.join(format!("host-{host}.log")))
            .map_err(|it| it.to_string())?;
        let child = Command::new(&self.program)
            .args(["--log-json", "cell"])
            .env("JUJUBEWINCH_CONFIG", self.settings_path(host))
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|it| it.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|it| format!("cannot start {}: {it}", self.program.display()))?;
        cleanup::note_process(child.id());
        self.children[host - 1] = Some(child);
        Ok(())
    }

    /// Waits until all entry hosts are ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(30);
        for host in STORAGE_HOSTS + 1..=HOSTS {
            let address = SocketAddr::new(ip(host), self.ports[2]);
            loop {
                let answer = call(
                    address,
                    "GET",
                    "/api/ready",
                    &[],
                    "",
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("host {host} does not become ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Addresses of the storage hosts for runners and the operator.
    pub fn control(&self) -> Vec<SocketAddr> {
        (1..=STORAGE_HOSTS)
            .map(|host| SocketAddr::new(ip(host), self.ports[3]))
            .collect()
    }

    /// Sends a configuration until it is acknowledged; an error is a refusal or a missing answer.
    pub fn configure(&self, document: &Json) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let body = document.to_string();
        self.record.line(&format!("operator sends    {body}"));
        loop {
            for address in self.control() {
                let Ok(answer) = call(
                    address,
                    "PUT",
                    "/api/config",
                    &[],
                    &body,
                    Duration::from_secs(1),
                ) else {
                    continue;
                };
                self.record.line(&format!(
                    "operator gets     {} from {address}",
                    answer.status()
                ));
                match answer.status() {
                    200 => return Ok(()),
                    400..=499 => {
                        return Err(format!(
                            "the configuration was refused with {}",
                            answer.status()
                        ));
                    }
                    _ => {}
                }
            }
            if Instant::now() > deadline {
                return Err("the configuration was not acknowledged".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// Sends a client's request to an entry host.
    pub fn client(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<Message> {
        let address = self.entry_address(entry);
        let headers = [("host", HOST_NAME), ("request-deadline", "3000")];
        let answer = call(
            address,
            method,
            path,
            &headers,
            body,
            Duration::from_secs(4),
        )
        .ok()?;
        self.record.line(&format!(
            "client {method} {path} {body} -> {} {}",
            answer.status(),
            answer.body
        ));
        Some(answer)
    }

    /// Hands a job in, and again with the same identifier where that is allowed, until it is accepted.
    pub fn submit(&self, path: &str, body: &Json) -> Result<(), String> {
        for attempt in 0..8 {
            match self
                .client(attempt, "POST", path, &body.to_string())
                .map(|it| it.status())
            {
                Some(200) => return Ok(()),
                Some(400..=428) => return Err(format!("{path} was refused")),
                _ => thread::sleep(Duration::from_millis(400)),
            }
        }
        Err(format!("{path} was not accepted"))
    }

    /// Sends a client's request to an entry host that does not answer, and closes the connection at the
    /// client's deadline.
    pub fn client_in_vain(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(), String> {
        let address = self.entry_address(entry);
        let headers = [("host", HOST_NAME), ("request-deadline", "3000")];
        match call(
            address,
            method,
            path,
            &headers,
            body,
            Duration::from_secs(3),
        ) {
            Ok(answer) => Err(format!(
                "{method} {path} was answered with {}",
                answer.status()
            )),
            Err(error) => {
                self.record.line(&format!(
                    "client {method} {path} {body} -> no answer: {error}"
                ));
                Ok(())
            }
        }
    }

    /// Stops an entry host, as a machine that stands still, or lets it go on.
    pub fn freeze(&self, entry: usize, frozen: bool) -> Result<(), String> {
        let child = self.children[STORAGE_HOSTS + entry % (HOSTS - STORAGE_HOSTS)].as_ref();
        let id = child.ok_or("the host does not run")?.id().to_string();
        let signal = if frozen { "-STOP" } else { "-CONT" };
        let sent = Command::new("kill").args([signal, &id]).status();
        self.record.line(&format!(
            "entry host {entry} {}",
            if frozen { "freezes" } else { "wakes" }
        ));
        sent.is_ok_and(|status| status.success())
            .then_some(())
            .ok_or_else(|| "no signal was sent".to_owned())
    }

    fn entry_address(&self, entry: usize) -> SocketAddr {
        let host = STORAGE_HOSTS + 1 + entry % (HOSTS - STORAGE_HOSTS);
        SocketAddr::new(ip(host), self.ports[1])
    }

    /// State of a job as a client reads it; empty without an answer.
    pub fn state(&self, path: &str) -> String {
        let answer = (0..3).find_map(|entry| {
            self.client(entry, "GET", path, "")
                .filter(|it| it.status() == 200)
        });
        let body = answer.and_then(|answer| Json::parse(&answer.body));
        body.map(|body| body.get("state").as_str().to_owned())
            .unwrap_or_default()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn ip(host: usize) -> IpAddr {
    // Each play has addresses of its own.
    let network = 1 + std::process::id() % 250;
    IpAddr::V4(Ipv4Addr::new(127, 0, network as u8, host as u8))
}

fn is_free(host: usize, port: u16) -> bool {
    TcpListener::bind(SocketAddr::new(ip(host), port)).is_ok()
}
