//! Tests of signals to services that run as real processes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Maximum wait for a log line on a busy machine.
const LINE_TIMEOUT: Duration = Duration::from_secs(40);

struct Service {
    child: Child,
    lines: Receiver<String>,
}

impl Service {
    /// Starts a subcommand, and reads its standard output and standard error line by line.
    fn start(subcommand: &str, settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jujubewinch"))
            .args([subcommand, "--settings"])
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = channel();
        let (stdout, stderr) = (child.stdout.take().unwrap(), child.stderr.take().unwrap());
        let stderr_sender = sender.clone();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let _ = stderr_sender.send(line);
            }
        });
        Self { child, lines }
    }

    /// Waits for a line that contains `part`, skipping other lines.
    fn await_line(&self, part: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LINE_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no line with {part:?}"));
            if line.contains(part) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .unwrap()
                .success()
        );
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap().port())
        .collect()
}

fn serve_settings(ports: &[u16], name: &str, level: &str) -> String {
    format!(
        "[host]\nid = \"one\"\n[listeners]\ncallers = \"127.0.0.1:{}\"\nadmin = \"127.0.0.1:{}\"\n\
         peers = \"127.0.0.1:{peers}\"\n[cell]\nname = \"{name}\"\n[[cell.hosts]]\nid = \"one\"\n\
         data_centre = \"erdenet\"\nregion = \"orkhon\"\npeers = \"127.0.0.1:{peers}\"\n\
         [logging]\nlevel = \"{level}\"\n",
        ports[0],
        ports[1],
        peers = ports[2]
    )
}

/// Guards against an entry host that SIGHUP terminates: on one day of the platform, 7 processes
/// terminated by themselves.
#[test]
fn entry_host_reloads_its_settings_on_sighup() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("one.toml");
    let ports = free_ports(3);
    fs::write(&path, serve_settings(&ports, "tuul", "info")).unwrap();
    let service = Service::start("serve", &path);
    service.await_line("serving callers");

    fs::write(&path, serve_settings(&ports, "other", "info")).unwrap();
    service.signal("-HUP");
    service.await_line("settings reloaded");
    let line = service.await_line("take effect at the next start");
    assert!(line.contains("changes of cell take effect"), "{line}");

    fs::write(
        &path,
        serve_settings(&ports, "tuul", "info").replace("[cell]", "[call]"),
    )
    .unwrap();
    service.signal("-HUP");
    let line = service.await_line("the settings stay as they were");
    assert!(line.contains("one.toml") && line.contains("call"), "{line}");
    service.signal("-TERM");
    service.await_line("draining");
}

/// Guards against a host that ignores changed seeds, or that terminates on an invalid file.
#[test]
fn host_of_a_cell_applies_changed_seeds_on_sighup() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("host.toml");
    let ports = free_ports(3);
    let text = |seed: u16| {
        format!(
            "[host]\naddress = \"127.0.0.1\"\nname = \"entry\"\ndata_centre = \"erdenet\"\n\
             [listeners]\npeers = \"127.0.0.1:{}\"\ncallers = \"127.0.0.1:{}\"\n\
             readiness = \"127.0.0.1:{}\"\n[cell]\nseeds = [\"127.0.0.{seed}:1\"]\n\
             forms_new_cell = false\ntolerated_losses = 1\n[timing]\nmax_worker_lease_ms = 6000\n\
             stop_grace_ms = 700\njob_retention_ms = 1000\n",
            ports[0], ports[1], ports[2]
        )
    };
    fs::write(&path, text(2)).unwrap();
    let service = Service::start("cell", &path);
    service.await_line("host started");
    fs::write(&path, text(3)).unwrap();
    service.signal("-HUP");
    let line = service.await_line("seeds changed");
    assert!(line.contains("127.0.0.3"), "{line}");
    fs::write(&path, "nonsense").unwrap();
    service.signal("-HUP");
    service.await_line("the settings stay as they were");
    service.signal("-TERM");
    service.await_line("stopped");
}
