//! Runs the storage hosts and the entry host of a cell as processes of their own, whose disks can
//! be made to refuse writes.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};

use super::{Ports, settings};

/// Program with its arguments, as in `deploy/system.toml`.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewinch");
/// Lines of the log that are kept for a failure message.
const KEPT_LINES: usize = 400;

/// A host of the cell: storage hosts are numbered from 1 to 3, the entry host is 4.
struct HostProcess {
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

/// All hosts of a cell; ends their processes when it is dropped.
pub struct HostProcesses {
    folder: PathBuf,
    hosts: Vec<HostProcess>,
}

impl HostProcesses {
    /// Starts three storage hosts and an entry host. Their ports must be free: hosts that outlived
    /// another run of the test would answer in their place.
    pub fn start(folder: &Path, ports: Ports) -> Self {
        let mut hosts = Vec::new();
        for number in 1..=4 {
            for port in [ports.peers, ports.callers, ports.readiness, ports.control] {
                let address = format!("127.0.0.{number}:{port}");
                TcpListener::bind(&address)
                    .unwrap_or_else(|error| panic!("{address} is not free: {error}"));
            }
            let text = settings(number, folder, ports, number < 4);
            std::fs::write(folder.join(format!("{number}.toml")), text).unwrap();
            hosts.push(HostProcess {
                child: None,
                log: Arc::default(),
            });
        }
        let mut processes = Self {
            folder: folder.to_owned(),
            hosts,
        };
        (1..=4).for_each(|number| processes.start_host(number));
        processes
    }

    /// Starts a host that does not run.
    pub fn start_host(&mut self, number: usize) {
        let host = &mut self.hosts[number - 1];
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
        let log = Arc::clone(&host.log);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let mut log = log.lock().unwrap();
                if log.len() == KEPT_LINES {
                    log.remove(0);
                }
                log.push(line);
            }
        });
        host.child = Some(child);
    }

    /// Panics if a host has ended by itself.
    pub fn assert_running(&mut self) {
        for (position, host) in self.hosts.iter_mut().enumerate() {
            let child = host.child.as_mut().expect("the host was started");
            let status = child.try_wait().unwrap();
            assert_eq!(status, None, "host {} has ended", position + 1);
        }
    }

    fn pid(&self, number: usize) -> Option<Pid> {
        let child = self.hosts[number - 1].child.as_ref()?;
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
        if let Some(mut child) = self.hosts[number - 1].child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Kills all hosts at the same moment, as when a site loses power, and waits for their end.
    pub fn kill_all(&mut self) {
        for number in 1..=self.hosts.len() {
            self.signal(number, Signal::KILL);
        }
        (1..=self.hosts.len()).for_each(|number| self.kill(number));
    }

    /// Removes all files of a storage host that does not run.
    pub fn empty_disk(&self, number: usize) {
        std::fs::remove_dir_all(self.folder.join(number.to_string())).unwrap();
    }

    /// Returns the warnings and errors of all hosts.
    pub fn warnings(&self) -> String {
        let mut text = String::new();
        for (position, host) in self.hosts.iter().enumerate() {
            let log = host.log.lock().unwrap();
            let important = |line: &&String| {
                line.contains("\"WARN\"") || line.contains("\"ERROR\"") || line.contains("again")
            };
            for line in log.iter().filter(important) {
                text += &format!("host {}: {line}\n", position + 1);
            }
        }
        text
    }
}

impl Drop for HostProcesses {
    fn drop(&mut self) {
        for number in 1..=self.hosts.len() {
            if let Some(child) = &mut self.hosts[number - 1].child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if thread::panicking() {
            eprintln!("{}", self.warnings());
        }
    }
}
