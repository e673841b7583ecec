//! Tests that clients that leave request bodies unfinished, or send too much, cannot make a process
//! of the system hold more memory or descriptors than its machine has.
//!
//! Each test starts the program itself, plays one bounded crowd, and checks that the process lives,
//! that its peak resident memory and its open descriptors stay within those of an entry host, and
//! that an ordinary request is answered afterwards while the crowd is still connected.

mod client_crowds;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use client_crowds::{
    ANSWER_TIMEOUT, CHUNKED, CONTROL_BYTES, Crowd, LEGAL_BYTES, PIECE_BYTES, await_read, chunk,
    one_at_a_time, open_descriptors, peak_resident_kb, split,
};

/// Memory of an entry host, from docs/design/customers-and-load.md: 160 MB.
const MAX_RESIDENT_KB: u64 = 160_000;
/// File descriptors of an entry host, from the same page.
const MAX_DESCRIPTORS: usize = 4_100;
/// Connections with bodies of legal size.
const LARGE_CROWD: usize = 600;
/// Connections whose bodies have chunks of one byte.
const TINY_CHUNK_CROWD: usize = 100;
/// Chunks of one byte in each body.
const TINY_CHUNKS: usize = 250_000;
/// Connections that send bodies over the limit.
const OVERSIZED_CROWD: usize = 300;
/// Bytes that each of them sends at most.
const OVERSIZED_BYTES: usize = 4 * 1024 * 1024;
/// Connections with bodies of 4 MiB to the operators' interface.
const CONTROL_CROWD: usize = 64;

struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts a development cell in one process; the address is that of a caller listener.
    fn start_development_cell() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jujubewinch"))
            .args(["dev", "--first-port", "0", "--seconds", "300"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let mut lines = output.lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains("callers on http://"));
        let line = line.expect("the cell reports its addresses");
        let address = line.split("http://").nth(1).unwrap();
        let address = address.split(',').next().unwrap().parse().unwrap();
        thread::spawn(move || lines.for_each(drop));
        Self { child, address }
    }

    /// Starts a storage host of a cell; the address is that of its operators' interface, or of its
    /// callers' interface.
    fn start_cell_host(folder: &std::path::Path, for_callers: bool) -> Self {
        let sockets: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let ports: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        drop(sockets);
        let text = format!(
            "[host]\naddress = \"127.0.0.1\"\nname = \"host-1\"\ndata_centre = \"lowell-yard\"\n\
             data_folder = {:?}\n[listeners]\npeers = \"{}\"\ncallers = \"{}\"\n\
             readiness = \"{}\"\ncontrol = \"{}\"\n[cell]\nseeds = [\"{}\"]\n\
             forms_new_cell = true\ntolerated_losses = 0\n[timing]\nmax_worker_lease_ms = 10000\n\
             stop_grace_ms = 6000\njob_retention_ms = 120000\n",
            folder.join("data"),
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[3]
        );
        let path = folder.join("host.toml");
        fs::write(&path, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_jujubewinch"))
            .args(["cell", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let process = Self {
            child,
            address: if for_callers { ports[1] } else { ports[3] },
        };
        let until = Instant::now() + ANSWER_TIMEOUT;
        while TcpStream::connect(process.address).is_err() {
            assert!(Instant::now() < until, "the host does not listen");
            thread::sleep(Duration::from_millis(50));
        }
        process
    }

    /// Checks that the process lives within the memory and the descriptors of an entry host.
    fn assert_within_the_machine(&mut self, crowd: &str) {
        let ended = self.child.try_wait().unwrap();
        assert_eq!(ended, None, "{crowd}: the process has ended");
        let process = self.child.id();
        let peak_kb = peak_resident_kb(process);
        let descriptors = open_descriptors(process);
        println!("{crowd}: peak {peak_kb} kB, {descriptors} descriptors");
        assert!(peak_kb <= MAX_RESIDENT_KB, "{crowd}: {peak_kb} kB resident");
        assert!(descriptors <= MAX_DESCRIPTORS, "{crowd}: {descriptors}");
    }

    /// Sends an ordinary request with a body until it is served. A refusal for overload has to say
    /// that the request did not run; a lost connection counts as no answer.
    fn assert_answers(&self, crowd: &str) {
        let until = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let reply = self.exchange_ordinary().unwrap_or_default();
            if reply.starts_with("HTTP/1.1 ") && !reply.starts_with("HTTP/1.1 503") {
                return;
            }
            if !reply.is_empty() {
                let verdict = reply.to_ascii_lowercase();
                assert!(verdict.contains("did_not_run"), "{crowd}: {reply}");
            }
            assert!(Instant::now() < until, "{crowd}: no answer: {reply}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn exchange_ordinary(&self) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let body = "b".repeat(1_000);
        let length = body.len();
        let text = format!(
            "POST /v1/ordinary HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes())?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply)?;
        Ok(reply)
    }

    /// Plays a crowd, whose members each send the pieces in turn and stay connected, and checks the
    /// process.
    fn assert_withstands(&mut self, crowd: &str, members: usize, head: &str, pieces: &[Vec<u8>]) {
        let head = format!("POST /v1/crowd HTTP/1.1\r\nhost: x\r\n{head}\r\n\r\n");
        let crowd_of = Crowd {
            members,
            addresses: 1,
            pieces,
            end: b"",
        };
        let held = crowd_of.play(self.address, &|stream| stream.write_all(head.as_bytes()));
        await_read(self.address);
        self.assert_within_the_machine(crowd);
        self.assert_answers(crowd);
        self.assert_within_the_machine(crowd);
        drop(held);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Splits `count` bytes into pieces.
fn pieces(count: usize, piece_bytes: usize) -> Vec<Vec<u8>> {
    split(&vec![b'b'; count], piece_bytes)
}

/// Guards against bodies of legal size, sent whole or piece by piece, that stop one byte short and
/// are held without a bound.
#[test]
fn announced_bodies_that_stop_one_byte_short() {
    let _alone = one_at_a_time();
    let head = format!("content-length: {LEGAL_BYTES}");
    for (crowd, piece_bytes) in [("whole", LEGAL_BYTES), ("piece by piece", PIECE_BYTES)] {
        let mut process = Process::start_development_cell();
        let sent = pieces(LEGAL_BYTES - 1, piece_bytes);
        process.assert_withstands(crowd, LARGE_CROWD, &head, &sent);
    }
}

/// Guards against unfinished bodies in large chunks that are held without a bound.
#[test]
fn large_chunks_that_stop_short() {
    let _alone = one_at_a_time();
    let mut process = Process::start_development_cell();
    let parts = pieces(LEGAL_BYTES - 1, PIECE_BYTES);
    let sent: Vec<Vec<u8>> = parts.iter().map(|part| chunk(part)).collect();
    process.assert_withstands("large chunks", LARGE_CROWD, CHUNKED, &sent);
}

/// Guards against a multiple of the body's size that is held for each chunk of one byte.
#[test]
fn chunks_of_one_byte_that_stop_short() {
    let _alone = one_at_a_time();
    let mut process = Process::start_development_cell();
    let all = chunk(b"b").repeat(TINY_CHUNKS);
    let sent: Vec<Vec<u8>> = all.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect();
    process.assert_withstands("tiny chunks", TINY_CHUNK_CROWD, CHUNKED, &sent);
}

/// Guards against bodies over the limit that are read and held, announced or just sent.
#[test]
fn bodies_far_over_the_limit() {
    let _alone = one_at_a_time();
    let announced = pieces(OVERSIZED_BYTES, PIECE_BYTES);
    let sent: Vec<Vec<u8>> = announced.iter().map(|part| chunk(part)).collect();
    let head = "content-length: 1073741824";
    for (crowd, head, sent) in [
        ("announced over the limit", head, announced),
        ("sent over the limit", CHUNKED, sent),
    ] {
        let mut process = Process::start_development_cell();
        process.assert_withstands(crowd, OVERSIZED_CROWD, head, &sent);
    }
}

/// Guards against bodies of 4 MiB on the operators' interface of a cell's host, which are held
/// without a bound.
#[test]
fn bodies_of_operators_that_stop_one_byte_short() {
    let _alone = one_at_a_time();
    let folder = tempfile::tempdir().unwrap();
    let mut process = Process::start_cell_host(folder.path(), false);
    let head = format!("content-length: {CONTROL_BYTES}");
    let sent = pieces(CONTROL_BYTES - 1, PIECE_BYTES);
    process.assert_withstands("operators", CONTROL_CROWD, &head, &sent);
}

/// Guards against complete jobs that decode to many times their size at the same time.
#[test]
fn jobs_of_many_steps_at_once() {
    let _alone = one_at_a_time();
    let folder = tempfile::tempdir().unwrap();
    let mut process = Process::start_cell_host(folder.path(), true);
    let start = r#"{"task_spec":"","steps":[{"count":1}"#;
    let step = r#",{"count":1}"#;
    let steps = (LEGAL_BYTES - start.len() - 2) / step.len();
    let body = format!("{start}{}]}}", step.repeat(steps));
    let head = format!("content-length: {}", body.len());
    process.assert_withstands("jobs", CONTROL_CROWD, &head, &[body.into_bytes()]);
}

/// Guards against the labels of one heartbeat that fill the memory of each host.
#[test]
fn a_heartbeat_with_countless_labels() {
    let _alone = one_at_a_time();
    let folder = tempfile::tempdir().unwrap();
    let mut process = Process::start_cell_host(folder.path(), false);
    let start = r#"{"service":"s","addr":"127.0.0.1:9","zone":"z","state":"ready","seq":1,
        "capacity":{"cpu":1,"mem_mb":1},"labels":[""#;
    let labels = (CONTROL_BYTES - start.len() - 16) / 3;
    let body = format!("{start}\"{}]}}", ",\"\"".repeat(labels));
    let head = format!("content-length: {}", body.len());
    let request = format!(
        "PUT /api/instances/i-1 HTTP/1.1\r\nhost: x\r\n{head}\r\nconnection: close\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(process.address).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    process.assert_within_the_machine("one heartbeat");
    process.assert_answers("one heartbeat");
}
