//! Starts the hosts of the cell as processes.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use indexmap::IndexMap;

use super::{
    STORAGE_HOSTS, caller_address, control_address, entry_hosts, known_address, peer_address,
    readiness_address, storage_hosts,
};

/// Running host processes, which are killed when this is dropped.
pub struct Hosts {
    /// Processes by IP address, storage hosts first.
    processes: IndexMap<String, Child>,
}

impl Hosts {
    /// Starts all hosts; their settings, logs and data are in `folder`.
    pub fn start(folder: &Path, policy: SocketAddr) -> Self {
        let mut processes = IndexMap::new();
        for host in storage_hosts().chain(entry_hosts()) {
            let path = folder.join(format!("host-{host}.toml"));
            fs::write(&path, settings(host, folder, policy)).expect("a settings file");
            let log = File::create(folder.join(format!("host-{host}.log"))).expect("a log file");
            let child = Command::new(env!("CARGO_BIN_EXE_jujubewinch"))
                .arg("cell")
                .arg("--settings")
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log)
                .spawn()
                .expect("a host starts");
            processes.insert(known_address(host).ip().to_string(), child);
        }
        Self { processes }
    }

    /// Returns the process ids of the entry hosts.
    pub fn entry_processes(&self) -> Vec<u32> {
        let children = self.processes.values().skip(usize::from(STORAGE_HOSTS));
        children.map(Child::id).collect()
    }

    /// Returns the process id of the host with this IP address.
    pub fn process_id(&self, address: &str) -> u32 {
        self.processes[address].id()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
        }
        for child in self.processes.values_mut() {
            let _ = child.wait();
        }
    }
}

fn settings(host: u8, folder: &Path, policy: SocketAddr) -> String {
    let is_storage_host = host <= STORAGE_HOSTS;
    let data = folder.join(format!("log-{host}"));
    let (data, listeners) = if is_storage_host {
        let control = control_address(host);
        (
            format!("data_folder = {data:?}"),
            format!("control = \"{control}\""),
        )
    } else {
        let (callers, readiness) = (caller_address(host), readiness_address(host));
        let listeners = format!("callers = \"{callers}\"\nreadiness = \"{readiness}\"");
        (String::new(), listeners)
    };
    let seeds: Vec<String> = storage_hosts()
        .take(3)
        .map(|seed| format!("\"{}\"", control_address(seed)))
        .collect();
    format!(
        "[host]\naddress = \"{}\"\nname = \"host-{host}\"\ndata_centre = \"dc-{}\"\n{data}\n\
         [listeners]\npeers = \"{}\"\n{listeners}\n\
         [cell]\nseeds = [{}]\nforms_new_cell = {}\ntolerated_losses = 2\n\
         [timing]\nmax_worker_lease_ms = 6000\nstop_grace_ms = 6000\njob_retention_ms = 120000\n\
         [placement_policy]\naddress = \"{policy}\"\n",
        known_address(host).ip(),
        host % 6,
        peer_address(host),
        seeds.join(", "),
        host <= 3,
    )
}
