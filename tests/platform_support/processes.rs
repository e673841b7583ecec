//! Runs the storage hosts and the entry hosts of a cell as processes of their own, whose disks can
//! be made to refuse writes.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

use super::policy::PolicyService;
use super::{CellSize, Ports, settings};

/// Program with its arguments, as in `deploy/system.toml`.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewinch");
/// Folder in which the logs of the hosts are kept after a failure.
const LOG_FOLDER: &str = env!("CARGO_TARGET_TMPDIR");

/// A member of the log, as the leader logs a change of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedMember {
    /// Number of the host.
    pub host: usize,
    pub incarnation: u64,
    /// `Voter`, `Returning` or `Learner`.
    pub role: String,
}

/// All hosts of a cell, numbered from 1 as in [`CellSize`]; ends their processes when it is dropped.
pub struct HostProcesses {
    folder: PathBuf,
    ports: Ports,
    /// Process of each host; `None` while it does not run.
    children: Vec<Option<Child>>,
    /// Number of the host and text of each line that was logged, in the order of arrival.
    log: Arc<Mutex<Vec<(usize, String)>>>,
}

impl HostProcesses {
    /// Starts all hosts. Their ports must be free: hosts that outlived another run of the test would
    /// answer in their place.
    pub fn start(folder: &Path, ports: Ports, size: CellSize) -> Self {
        Self::start_with_settings(folder, ports, size, |_, text| text)
    }

    /// Starts all hosts, which call a placement policy.
    pub fn start_with_policy(
        folder: &Path,
        ports: Ports,
        size: CellSize,
        policy: &PolicyService,
    ) -> Self {
        Self::start_with_settings(folder, ports, size, |_, text| {
            text + &format!("[placement_policy]\naddress = \"{}\"\n", policy.address())
        })
    }

    /// Starts all hosts, with settings that the closure makes from the number of the host and its
    /// usual settings.
    pub fn start_with_settings(
        folder: &Path,
        ports: Ports,
        size: CellSize,
        change: impl Fn(usize, String) -> String,
    ) -> Self {
        for number in 1..=size.hosts() {
            for port in [ports.peers, ports.callers, ports.readiness, ports.control] {
                let address = format!("127.0.0.{number}:{port}");
                TcpListener::bind(&address)
                    .unwrap_or_else(|error| panic!("{address} is not free: {error}"));
            }
            let text = change(number, settings(number, folder, ports, size));
            std::fs::write(folder.join(format!("{number}.toml")), text).unwrap();
        }
        let mut processes = Self {
            folder: folder.to_owned(),
            ports,
            children: (0..size.hosts()).map(|_| None).collect(),
            log: Arc::default(),
        };
        (1..=size.hosts()).for_each(|number| processes.start_host(number));
        processes
    }

    /// Starts a host that does not run.
    pub fn start_host(&mut self, number: usize) {
        // A write beyond the size limit of files returns an error only while its signal is ignored.
        let mut child = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" --log-json cell", PROGRAM])
            .env(
                "JUJUBEWINCH_CONFIG",
                self.folder.join(format!("{number}.toml")),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let log = Arc::clone(&self.log);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                log.lock().unwrap().push((number, line));
            }
        });
        self.children[number - 1] = Some(child);
    }

    /// Panics if a host has ended by itself.
    pub fn assert_running(&mut self) {
        for (position, child) in self.children.iter_mut().enumerate() {
            let child = child.as_mut().expect("the host was started");
            let status = child.try_wait().unwrap();
            assert_eq!(status, None, "host {} has ended", position + 1);
        }
    }

    /// Returns the process identifier of a host that runs.
    pub fn process_id(&self, number: usize) -> u32 {
        let child = self.children[number - 1].as_ref();
        child.expect("the host was started").id()
    }

    fn pid(&self, number: usize) -> Option<Pid> {
        let child = self.children[number - 1].as_ref()?;
        Pid::from_raw(i32::try_from(child.id()).ok()?)
    }

    /// Makes each write of a host that lengthens a file fail from now on, or succeed again.
    pub fn set_disk_full(&self, number: usize, full: bool) {
        let Some(pid) = self.pid(number) else {
            return;
        };
        let limit = Rlimit {
            current: full.then_some(1),
            maximum: None,
        };
        prlimit(Some(pid), Resource::Fsize, limit).unwrap();
    }

    pub fn signal(&self, number: usize, signal: Signal) {
        if let Some(pid) = self.pid(number) {
            kill_process(pid, signal).unwrap();
        }
    }

    /// Kills a host as in a crash and waits for its end.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.children[number - 1].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Kills all hosts at the same moment, as when a site loses power, and waits for their end.
    pub fn kill_all(&mut self) {
        for number in 1..=self.children.len() {
            self.signal(number, Signal::KILL);
        }
        (1..=self.children.len()).for_each(|number| self.kill(number));
    }

    /// Removes all files of a storage host that does not run.
    pub fn empty_disk(&self, number: usize) {
        std::fs::remove_dir_all(self.folder.join(number.to_string())).unwrap();
    }

    /// Returns the messages of the hosts that the closure maps to a value, in the order of arrival.
    fn messages<T>(&self, read: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let log = self.log.lock().unwrap();
        let messages = log.iter().filter_map(|(_, line)| {
            let line: Value = serde_json::from_str(line).ok()?;
            read(line["message"].as_str()?)
        });
        messages.collect()
    }

    /// Returns the number of the host that logged a line with this text last.
    pub fn last_host_with_line(&self, text: &str) -> Option<usize> {
        let log = self.log.lock().unwrap();
        let mut latest = log.iter().rev();
        let found = latest.find(|(_, line)| line.contains(text));
        found.map(|(host, _)| *host)
    }

    /// Returns the latest term of the log and the host that leads in it.
    pub fn leader(&self) -> Option<(u64, usize)> {
        let elected = self.messages(|message| {
            let (host, term) = message.split_once(" leads workflow in term ")?;
            let host = host.strip_prefix("127.0.0.")?;
            Some((term.parse().ok()?, host.parse().ok()?))
        });
        elected.into_iter().max()
    }

    /// Returns the members after the latest change; empty before the first one.
    pub fn members(&self) -> Vec<LoggedMember> {
        let mut memberships = self.messages(|message| {
            let members = message.strip_prefix("membership of workflow becomes ")?;
            let members = members.split("Member { host: \"127.0.0.").skip(1);
            members.map(logged_member).collect::<Option<Vec<_>>>()
        });
        memberships.pop().unwrap_or_default()
    }

    /// Returns the warnings and errors of all hosts.
    pub fn warnings(&self) -> String {
        let log = self.log.lock().unwrap();
        let important = |(_, line): &&(usize, String)| {
            line.contains("\"WARN\"") || line.contains("\"ERROR\"") || line.contains("again")
        };
        let lines = log.iter().filter(important);
        lines
            .map(|(host, line)| format!("host {host}: {line}\n"))
            .collect()
    }

    /// Writes all lines of the hosts to a file and returns its path.
    fn keep_log(&self) -> std::io::Result<PathBuf> {
        let name = format!("hosts-{}-{}.log", self.ports.peers, std::process::id());
        let path = Path::new(LOG_FOLDER).join(name);
        let log = self.log.lock().unwrap();
        let lines = log
            .iter()
            .map(|(host, line)| format!("host {host}: {line}\n"));
        std::fs::write(&path, lines.collect::<String>())?;
        Ok(path)
    }
}

/// Reads a member from the text after the common part of the host addresses.
fn logged_member(text: &str) -> Option<LoggedMember> {
    let (host, rest) = text.split_once("\", incarnation: ")?;
    let (incarnation, rest) = rest.split_once(", role: ")?;
    let (role, _) = rest.split_once(' ')?;
    Some(LoggedMember {
        host: host.parse().ok()?,
        incarnation: incarnation.parse().ok()?,
        role: role.to_owned(),
    })
}

impl Drop for HostProcesses {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            eprintln!("{}", self.warnings());
            eprintln!("logs of all hosts: {:?}", self.keep_log());
        }
    }
}
