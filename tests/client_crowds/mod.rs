//! Crowds of clients that do not behave, and what they make a process of the system hold.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod peers;

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, connect, socket_with};

/// Published limit of a body of a caller.
pub const LEGAL_BYTES: usize = 262_144;
/// Limit of a body from an operator or a worker of a cell.
pub const CONTROL_BYTES: usize = 4 * 1024 * 1024;
/// Size of a piece of a body that is sent in pieces, and of a large chunk.
pub const PIECE_BYTES: usize = 16 * 1024;
/// Header of a body in chunks.
pub const CHUNKED: &str = "transfer-encoding: chunked";
/// Maximum wait for a start or an answer on a busy machine.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Threads that send the bodies of a crowd.
const SENDERS: usize = 8;
/// Longest wait of a client for the server to take a piece.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// State of an open connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// Lets crowds run one at a time, since each needs many connections.
pub fn one_at_a_time() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Peak resident memory of a process in kB, since its start or the latest [`reset_peak`].
pub fn peak_resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    line.and_then(|line| line.split_whitespace().nth(1))
        .and_then(|number| number.parse().ok())
        .unwrap()
}

/// Sets the peak resident memory of a process to its present resident memory.
pub fn reset_peak(process: u32) {
    fs::write(format!("/proc/{process}/clear_refs"), "5").unwrap();
}

/// Number of open descriptors of a process.
pub fn open_descriptors(process: u32) -> usize {
    let listed = fs::read_dir(format!("/proc/{process}/fd"));
    listed.unwrap().count()
}

/// Number of threads of a process.
pub fn threads(process: u32) -> usize {
    let listed = fs::read_dir(format!("/proc/{process}/task"));
    listed.unwrap().count()
}

/// Waits until the server has read what the crowd sent, or has closed those connections, since the
/// system's buffers take most of a body before the process sees it.
pub fn await_read(server: SocketAddr) {
    let until = Instant::now() + ANSWER_TIMEOUT;
    while Instant::now() < until && has_unread_bytes(server) {
        thread::sleep(Duration::from_millis(100));
    }
}

fn has_unread_bytes(server: SocketAddr) -> bool {
    let SocketAddr::V4(server) = server else {
        panic!("{server} is not an IPv4 address");
    };
    let address = u32::from_ne_bytes(server.ip().octets());
    let local = format!("{address:08X}:{:04X}", server.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 4
            && fields[1] == local
            && fields[3] == ESTABLISHED
            && !fields[4].ends_with(":00000000")
    })
}

/// Opens a connection from a loopback address; from the system's choice if there is none.
pub fn connect_from(source: Option<Ipv4Addr>, server: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(server);
    };
    let socket = socket_with(
        AddressFamily::INET,
        SocketType::STREAM,
        SocketFlags::CLOEXEC,
        None,
    )?;
    bind(&socket, &SocketAddrV4::new(source, 0))?;
    connect(&socket, &server)?;
    Ok(TcpStream::from(socket))
}

/// What the members of a crowd send on their connections after the opening bytes.
pub struct Crowd<'a> {
    /// Number of connections.
    pub members: usize,
    /// Number of loopback addresses from which they come.
    pub addresses: usize,
    /// Pieces that each member sends, each on all connections before the next one.
    pub pieces: &'a [Vec<u8>],
    /// End of the body, sent by one member in eight. Empty if there is none.
    pub end: &'a [u8],
}

/// Connections of a crowd that the server has not closed; closes them when it is dropped.
pub struct HeldConnections {
    streams: Vec<TcpStream>,
}

impl Drop for HeldConnections {
    fn drop(&mut self) {
        for stream in &self.streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Crowd<'_> {
    /// Plays the crowd. `open` sends what precedes the pieces on a new connection. The connections
    /// stay open, except for those that the server closes.
    pub fn play(
        &self,
        server: SocketAddr,
        open: &(dyn Fn(&mut TcpStream) -> std::io::Result<()> + Sync),
    ) -> HeldConnections {
        let streams = thread::scope(|scope| {
            let senders: Vec<_> = (0..SENDERS)
                .map(|sender| scope.spawn(move || self.send_in_rounds(sender, server, open)))
                .collect();
            let sent = senders.into_iter().map(|sender| sender.join().unwrap());
            sent.flatten().collect()
        });
        HeldConnections { streams }
    }

    /// Source address of a member; the system's choice if all members have the same one.
    fn source(&self, member: usize) -> Option<Ipv4Addr> {
        let last = u8::try_from(member % self.addresses + 1).unwrap();
        (self.addresses > 1).then_some(Ipv4Addr::new(127, 0, 1, last))
    }

    /// Returns the connections that took everything; the server may have closed the others.
    fn send_in_rounds(
        &self,
        sender: usize,
        server: SocketAddr,
        open: &(dyn Fn(&mut TcpStream) -> std::io::Result<()> + Sync),
    ) -> Vec<TcpStream> {
        let mut streams = Vec::new();
        for member in (sender..self.members).step_by(SENDERS) {
            let Ok(mut stream) = connect_from(self.source(member), server) else {
                continue;
            };
            stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
            if open(&mut stream).is_ok() {
                streams.push((member, stream));
            }
        }
        for piece in self.pieces {
            streams.retain_mut(|(_, stream)| stream.write_all(piece).is_ok());
        }
        if !self.end.is_empty() {
            streams.retain_mut(|(member, stream)| {
                !(*member / SENDERS).is_multiple_of(8) || stream.write_all(self.end).is_ok()
            });
        }
        streams.into_iter().map(|(_, stream)| stream).collect()
    }
}

/// Splits bytes into pieces.
pub fn split(bytes: &[u8], piece_bytes: usize) -> Vec<Vec<u8>> {
    bytes.chunks(piece_bytes).map(<[u8]>::to_vec).collect()
}

/// Encodes a piece as one chunk.
pub fn chunk(piece: &[u8]) -> Vec<u8> {
    let mut encoded = format!("{:x}\r\n", piece.len()).into_bytes();
    encoded.extend_from_slice(piece);
    encoded.extend_from_slice(b"\r\n");
    encoded
}
