//! Tests that clients that send unfinished, finely divided or oversized messages cannot end a host
//! of a cell, on any of its listeners.
//!
//! A storage host and an entry host run as processes of their own, with the listeners that
//! deploy/cell.toml.template gives them and with lowered limits of the memory of request bodies.
//! Each test plays one kind of crowd on each listener in turn. It checks that both processes live,
//! that the peak resident memory and the open descriptors of the attacked one stay under a bound,
//! and that an ordinary request to the same listener is answered while the crowd is still connected.

mod client_crowds;
mod platform_support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use client_crowds::peers::{assert_peer_answers, exchange_frame, open_connection, open_frame};
use client_crowds::{
    ANSWER_TIMEOUT, CHUNKED, CONTROL_BYTES, Crowd, LEGAL_BYTES, PIECE_BYTES, await_read, chunk,
    one_at_a_time, open_descriptors, peak_resident_kb, reset_peak, split,
};
use jujubewinch::peer::channel::FrameWriter;
use jujubewinch::peer::frame::{Frame, MAX_FRAME_BYTES};
use jujubewinch::protocol::peer::{PeerReply, PeerRequest};
use platform_support::processes::HostProcesses;
use platform_support::{Cell, CellSize, Ports, configuration};
use serde_json::json;

/// Memory of request bodies in the process. One address may hold half of it, which is the smallest
/// share that the settings allow: one body of an operator.
const HELD_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Memory of a host without the bodies of requests: a quarter of an entry host's 160 MB.
const PROCESS_KB: u64 = 40_000;
/// Bound of the peak resident memory of a host.
const MAX_RESIDENT_KB: u64 = PROCESS_KB + (HELD_BODY_BYTES / 1024) as u64;
/// Descriptors of a host without clients; each connection of a peer takes four.
const PROCESS_DESCRIPTORS: usize = 128;
/// Bound of the open descriptors of a host.
const MAX_DESCRIPTORS: usize = PROCESS_DESCRIPTORS + BODY_CROWD;
/// Connections with bodies of a caller's legal size, 42 MB together.
const BODY_CROWD: usize = 160;
/// Connections with bodies of an operator's legal size, 84 MB together.
const CONTROL_CROWD: usize = 20;
/// Connections whose bodies have chunks of one byte.
const TINY_CHUNK_CROWD: usize = 24;
/// Chunks of one byte in each body.
const TINY_CHUNKS: usize = 250_000;
/// Bytes that each member sends of a body over the limit, at least the limit of the listener.
const OVERSIZED_BYTES: usize = 1024 * 1024;
/// Announced length of a body far over every limit.
const ANNOUNCED_BYTES: usize = 1 << 30;
/// Connections of a crowd of hosts with unfinished frames of the largest size, 100 MB together.
const FRAME_CROWD: usize = 6;
/// Connections of a crowd of hosts that do not read the replies to their pings.
const PING_CROWD: usize = 24;
/// Pings on each of them.
const PINGS: usize = 20_000;
/// Longest wait of such a host for the server to take its pings, which it stops reading.
const PING_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Loopback addresses of a crowd: one, and several whose shares exceed the memory of all bodies.
const ADDRESSES: [usize; 2] = [1, 40];
/// Number of the storage host and of the entry host.
const STORAGE: usize = 1;
const ENTRY: usize = 2;
const SIZE: CellSize = CellSize {
    storage_hosts: 1,
    entry_hosts: 1,
};

/// A listener of a host that speaks HTTP.
struct Listener {
    name: &'static str,
    host: usize,
    port: u16,
    /// First line of the requests of a crowd, without the version.
    call: &'static str,
    /// Size of the bodies of a crowd.
    body_bytes: usize,
}

/// A storage host and an entry host with all listeners, and a configuration in force.
struct Hosts {
    processes: HostProcesses,
    cell: Cell,
    metrics_port: u16,
    jobs: usize,
    _folder: tempfile::TempDir,
}

impl Hosts {
    fn start(first_port: u16) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = Ports::starting_at(first_port);
        let metrics_port = first_port + 4;
        let processes =
            HostProcesses::start_with_settings(folder.path(), ports, SIZE, |number, text| {
                let listener =
                    format!("[listeners]\nmetrics = \"127.0.0.{number}:{metrics_port}\"");
                let other_seeds = format!(", \"127.0.0.2:{0}\", \"127.0.0.3:{0}\"", ports.control);
                let text = text.replace("[listeners]", &listener);
                let text = text.replace(&other_seeds, "");
                format!(
                    "{text}[limits]\nmax_held_body_bytes = {HELD_BODY_BYTES}\n\
                     max_address_body_bytes = {}\n\
                     max_held_frame_bytes = {MAX_FRAME_BYTES}\n",
                    HELD_BODY_BYTES / 2
                )
            });
        let cell = Cell::of_processes(ports, SIZE);
        assert_eq!(cell.configure(1).status, 200);
        let mut hosts = Self {
            processes,
            cell,
            metrics_port,
            jobs: 0,
            _folder: folder,
        };
        for listener in hosts.listeners() {
            hosts.assert_answers("before the crowds", &listener);
        }
        hosts
    }

    /// Listeners that speak HTTP.
    fn listeners(&self) -> [Listener; 5] {
        let ports = self.cell.ports;
        let listener = |name, host, port, call| Listener {
            name,
            host,
            port,
            call,
            body_bytes: LEGAL_BYTES,
        };
        [
            listener("callers", ENTRY, ports.callers, "POST /plans/crowd"),
            listener("readiness", ENTRY, ports.readiness, "POST /api/ready"),
            listener("metrics", ENTRY, self.metrics_port, "POST /metrics"),
            Listener {
                body_bytes: CONTROL_BYTES,
                ..listener("control", STORAGE, ports.control, "PUT /api/config")
            },
            listener("metrics", STORAGE, self.metrics_port, "POST /metrics"),
        ]
    }

    /// Plays a crowd at a host and checks the processes, with an ordinary request in between.
    fn assert_withstands(
        &mut self,
        case: &str,
        (host, port): (usize, u16),
        crowd: &Crowd,
        open: &(dyn Fn(&mut TcpStream) -> std::io::Result<()> + Sync),
        assert_answers: impl FnOnce(&mut Self, &str),
    ) {
        let address = host_address(host, port);
        reset_peak(self.processes.process_id(host));
        let held = crowd.play(address, open);
        await_read(address);
        self.assert_within_bounds(case, host);
        assert_answers(self, case);
        self.assert_within_bounds(case, host);
        drop(held);
    }

    /// Plays crowds of requests on each listener. `body` returns the head of the request, the pieces
    /// of the unfinished body and its end.
    fn assert_withstand_bodies(
        &mut self,
        kind: &str,
        members: impl Fn(&Listener) -> usize,
        body: impl Fn(&Listener) -> (String, Vec<Vec<u8>>, Vec<u8>),
    ) {
        for listener in self.listeners() {
            let (head, pieces, end) = body(&listener);
            let head = format!(
                "{} HTTP/1.1\r\nhost: shop.example\r\n{head}\r\n\r\n",
                listener.call
            );
            for addresses in ADDRESSES {
                let case = format!(
                    "{kind}, {} of host {}, {addresses} addresses",
                    listener.name, listener.host
                );
                let crowd = Crowd {
                    members: members(&listener),
                    addresses,
                    pieces: &pieces,
                    end: &end,
                };
                self.assert_withstands(
                    &case,
                    (listener.host, listener.port),
                    &crowd,
                    &|stream| stream.write_all(head.as_bytes()),
                    |hosts, case| hosts.assert_answers(case, &listener),
                );
            }
        }
    }

    /// Plays crowds of `members` other hosts at both hosts. `open` sends what precedes the pieces.
    fn assert_withstand_frames(
        &mut self,
        kind: &str,
        members: usize,
        pieces: &[Vec<u8>],
        open: &(dyn Fn(&mut TcpStream) -> std::io::Result<()> + Sync),
    ) {
        let port = self.cell.ports.peers;
        for (host, addresses) in [(STORAGE, 1), (STORAGE, 40), (ENTRY, 1), (ENTRY, 40)] {
            let case = format!("{kind}, peers of host {host}, {addresses} addresses");
            let crowd = Crowd {
                members,
                addresses,
                pieces,
                end: b"",
            };
            self.assert_withstands(&case, (host, port), &crowd, open, |_, case| {
                assert_peer_answers(case, host_address(host, port));
            });
        }
    }

    fn assert_within_bounds(&mut self, case: &str, host: usize) {
        self.processes.assert_running();
        let process = self.processes.process_id(host);
        let (peak_kb, descriptors) = (peak_resident_kb(process), open_descriptors(process));
        println!("{case}: peak {peak_kb} kB, {descriptors} descriptors");
        assert!(peak_kb <= MAX_RESIDENT_KB, "{case}: {peak_kb} kB resident");
        assert!(descriptors <= MAX_DESCRIPTORS, "{case}: {descriptors}");
    }

    /// Sends an ordinary request to a listener until it is served.
    fn assert_answers(&mut self, case: &str, listener: &Listener) {
        let (call, body) = match listener.name {
            "callers" => {
                self.jobs += 1;
                (format!("POST /plans/job-{}", self.jobs), ordinary_job())
            }
            "control" => ("PUT /api/config".to_owned(), configuration(1).to_string()),
            "readiness" => ("GET /api/ready".to_owned(), String::new()),
            _ => ("GET /metrics".to_owned(), String::new()),
        };
        assert_served(case, listener, &call, &body);
    }
}

fn ordinary_job() -> String {
    let step = json!({"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 150});
    json!({"task_spec": "plan", "steps": [step]}).to_string()
}

/// Sends a request until it is served. Only a refusal for overload may come before, and on the
/// callers' listener it has to say when to come back.
fn assert_served(case: &str, listener: &Listener, call: &str, body: &str) {
    let address = host_address(listener.host, listener.port);
    let until = Instant::now() + ANSWER_TIMEOUT;
    loop {
        let reply = exchange(address, call, body).unwrap_or_default();
        if reply.starts_with("HTTP/1.1 200") {
            return;
        }
        let is_refused = reply.starts_with("HTTP/1.1 503") || reply.starts_with("HTTP/1.1 504");
        assert!(reply.is_empty() || is_refused, "{case}: {reply}");
        if listener.name == "callers" && reply.starts_with("HTTP/1.1 503") {
            let has_time = reply.to_ascii_lowercase().contains("retry-after: ");
            assert!(has_time, "{case}: {reply}");
        }
        assert!(Instant::now() < until, "{case}: no answer: {reply}");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Number of members of a crowd whose bodies have the largest size of the listener.
fn crowd_size(listener: &Listener) -> usize {
    if listener.body_bytes == CONTROL_BYTES {
        CONTROL_CROWD
    } else {
        BODY_CROWD
    }
}

fn host_address(host: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(host).unwrap();
    (Ipv4Addr::new(127, 0, 0, last), port).into()
}

fn exchange(address: SocketAddr, call: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let length = body.len();
    let text = format!(
        "{call} HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply)?;
    Ok(reply)
}

/// A job of the given size. The text of its task is longer than a job may have.
fn job_body(bytes: usize) -> Vec<u8> {
    let (start, end) = (r#"{"task_spec":""#, r#"","steps":[]}"#);
    let text = "b".repeat(bytes - start.len() - end.len());
    format!("{start}{text}{end}").into_bytes()
}

/// Head, pieces and end of a body with an announced length, which lacks its last byte.
fn announced(listener: &Listener, piece_bytes: usize) -> (String, Vec<Vec<u8>>, Vec<u8>) {
    let body = job_body(listener.body_bytes);
    let (last, rest) = body.split_last().unwrap();
    let head = format!("content-length: {}", body.len());
    (head, split(rest, piece_bytes), vec![*last])
}

/// Head, pieces and end of a body in chunks, which lacks its last byte and its last chunk.
fn chunked(body: &[u8], chunk_bytes: usize) -> (String, Vec<Vec<u8>>, Vec<u8>) {
    let (last, rest) = body.split_last().unwrap();
    let encoded: Vec<u8> = rest.chunks(chunk_bytes).flat_map(chunk).collect();
    let end = [chunk(&[*last]), b"0\r\n\r\n".to_vec()].concat();
    (CHUNKED.to_owned(), split(&encoded, PIECE_BYTES), end)
}

/// Guards against bodies of legal size that are sent whole, stop one byte short and are held without
/// a bound.
#[test]
fn announced_bodies_that_are_sent_whole() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_500);
    hosts.assert_withstand_bodies("sent whole", crowd_size, |listener| {
        announced(listener, listener.body_bytes)
    });
}

/// Guards against bodies of legal size that are sent in pieces, stop one byte short and are held
/// without a bound.
#[test]
fn announced_bodies_that_are_sent_in_pieces() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_505);
    hosts.assert_withstand_bodies("sent in pieces", crowd_size, |listener| {
        announced(listener, PIECE_BYTES)
    });
}

/// Guards against unfinished bodies in large chunks that are held without a bound.
#[test]
fn bodies_in_large_chunks() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_510);
    hosts.assert_withstand_bodies("large chunks", crowd_size, |listener| {
        chunked(&job_body(listener.body_bytes), PIECE_BYTES)
    });
}

/// Guards against a multiple of the body's size that is held for each chunk of one byte.
#[test]
fn bodies_in_chunks_of_one_byte() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_515);
    let sent = chunked(&job_body(TINY_CHUNKS), 1);
    let members = |_: &Listener| TINY_CHUNK_CROWD;
    hosts.assert_withstand_bodies("chunks of one byte", members, |_| sent.clone());
}

/// Guards against bodies that announce a length far over the limit and are read and held.
#[test]
fn bodies_that_announce_too_much() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_520);
    hosts.assert_withstand_bodies("announced over the limit", crowd_size, |listener| {
        let head = format!("content-length: {ANNOUNCED_BYTES}");
        let bytes = OVERSIZED_BYTES.max(listener.body_bytes);
        let pieces = split(&vec![b'b'; bytes], PIECE_BYTES);
        (head, pieces, Vec::new())
    });
}

/// Guards against bodies in chunks that grow far over the limit and are read and held.
#[test]
fn bodies_that_send_too_much() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_525);
    hosts.assert_withstand_bodies("sent over the limit", crowd_size, |listener| {
        let bytes = OVERSIZED_BYTES.max(2 * listener.body_bytes);
        chunked(&vec![b'b'; bytes], PIECE_BYTES)
    });
}

/// Guards against frames of the largest size that stop one byte short and are held without a bound.
#[test]
fn unfinished_frames_of_peers() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_530);
    let frame = vec![b'b'; MAX_FRAME_BYTES - 1];
    let open = |stream: &mut TcpStream| open_frame(stream, MAX_FRAME_BYTES);
    for (kind, piece_bytes) in [("whole", frame.len()), ("in pieces", 64 * PIECE_BYTES)] {
        let pieces = split(&frame, piece_bytes);
        hosts.assert_withstand_frames(kind, FRAME_CROWD, &pieces, &open);
    }
}

/// Guards against replies that are queued without a bound for a host that does not read them.
#[test]
fn pings_of_peers_whose_replies_are_not_read() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_535);
    let open = |stream: &mut TcpStream| {
        stream.set_write_timeout(Some(PING_WRITE_TIMEOUT))?;
        let session = open_connection(stream)?;
        let pings = vec![Frame::Ping; PINGS];
        let mut writer = FrameWriter::new(stream, session.client_secret);
        // The server stops reading once the replies fill the buffers of the system.
        let _ = writer.write_all(&pings);
        Ok(())
    };
    hosts.assert_withstand_frames("unread pongs", PING_CROWD, &[], &open);
}

/// Guards against frames far over the limit that are read and held, before and after the handshake.
#[test]
fn oversized_frames_of_peers() {
    let _alone = one_at_a_time();
    let mut hosts = Hosts::start(17_540);
    let pieces = split(&vec![b'b'; OVERSIZED_BYTES], PIECE_BYTES);
    let announce = |stream: &mut TcpStream| {
        stream.write_all(&u32::try_from(ANNOUNCED_BYTES).unwrap().to_be_bytes())
    };
    let open = |stream: &mut TcpStream| open_frame(stream, ANNOUNCED_BYTES);
    hosts.assert_withstand_frames("before the handshake", CONTROL_CROWD, &pieces, &announce);
    hosts.assert_withstand_frames("after the handshake", CONTROL_CROWD, &pieces, &open);
}

/// Guards against limits that refuse a single message of the largest legal size while nothing else
/// arrives.
#[test]
fn single_messages_of_the_largest_size_are_served() {
    let _alone = one_at_a_time();
    let hosts = Hosts::start(17_545);
    for listener in hosts.listeners() {
        let (call, body) = match listener.name {
            "callers" => ("POST /plans/largest", ordinary_job()),
            "control" => ("PUT /api/config", configuration(1).to_string()),
            _ => continue,
        };
        let padding = " ".repeat(listener.body_bytes - body.len());
        assert_served("largest body", &listener, call, &(body + &padding));
    }
    let request = PeerRequest::Extension {
        name: "unknown".to_owned(),
        message: vec![b'b'; MAX_FRAME_BYTES - 64],
    };
    let call = Frame::Request {
        call_id: 1,
        request,
    };
    for host in [STORAGE, ENTRY] {
        let address = host_address(host, hosts.cell.ports.peers);
        let reply = exchange_frame(address, &call).unwrap();
        let is_reply = matches!(
            reply,
            Frame::Reply {
                call_id: 1,
                reply: PeerReply::Refused(_)
            }
        );
        assert!(is_reply, "host {host}: {reply:?}");
    }
}
