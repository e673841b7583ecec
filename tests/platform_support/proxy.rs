//! A proxy at the address of a simulated runner. It stays while the process behind it crashes and
//! starts again, can hold requests for the next process, lose or delay calls, or drop everything.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Whether a request starts a run.
pub fn is_start(request: &str) -> bool {
    request.contains("/api/run-start")
}

/// Whether a request stops a run.
pub fn is_stop(request: &str) -> bool {
    request.contains("/api/run-stop")
}

/// Whether a request renews the lease or acknowledges ends.
pub fn is_renewal(request: &str) -> bool {
    request.contains("/api/hold")
}

/// Whether a request acknowledges ends.
pub fn is_acknowledgement(request: &str) -> bool {
    is_renewal(request) && !request.contains("\"ack_cursor\":0")
}

/// Decides by the text of a request whether it is held.
pub type Chosen = Box<dyn Fn(&str) -> bool + Send>;
/// Returns the delays of a request and of its answer by the text of the request.
pub type DelaysOf = Box<dyn Fn(&str) -> Delays + Send>;

/// Time on the way. A sender that has stopped waiting reads no answer, so that it is lost.
#[derive(Clone, Copy, Default)]
pub struct Delays {
    /// Time until the process receives the request.
    pub request: Duration,
    /// Time until the sender receives the answer.
    pub answer: Duration,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    Forwarded,
    /// It reaches no process and has no answer.
    Lost,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is carried out, and its answer is delayed, so that later answers overtake it.
    AnswerDelayed(Duration),
    /// The process that runs after the delay carries it out; its answer is lost.
    Delayed(Duration),
}

/// Decides by the text of a request what becomes of it.
pub type Fates = Box<dyn FnMut(&str) -> Fate + Send>;

#[derive(Default)]
struct State {
    /// Address of the process; `None` while none runs.
    process: Option<SocketAddr>,
    /// Number of processes so far; the answers of earlier ones are discarded.
    processes: u64,
    is_cut: bool,
    chosen: Option<Chosen>,
    held: Vec<Vec<u8>>,
    fates: Option<Fates>,
    delays_of: Option<DelaysOf>,
}

/// Forwards requests, one at a time for each connection.
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Listens on a free port of 127.0.0.1; there is no process yet.
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::<Mutex<State>>::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(client, &shared));
            }
        });
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards requests to a process from now on, or to none: it then closes connections at the
    /// next request.
    pub fn set_process(&self, process: Option<SocketAddr>) {
        let mut state = self.state.lock().unwrap();
        state.process = process;
        state.processes += 1;
    }

    /// Drops all requests and answers from now on without closing connections, or forwards again.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.lock().unwrap().is_cut = is_cut;
    }

    /// Keeps the chosen requests from now on instead of forwarding them, and answers none of them.
    pub fn hold(&self, chosen: Option<Chosen>) {
        self.state.lock().unwrap().chosen = chosen;
    }

    /// Decides from now on what becomes of the requests that are not held; forwards all without a
    /// decision.
    pub fn set_fates(&self, fates: Option<Fates>) {
        self.state.lock().unwrap().fates = fates;
    }

    /// Delays requests and answers from now on. Those on different connections overtake each other.
    pub fn delay(&self, delays_of: Option<DelaysOf>) {
        self.state.lock().unwrap().delays_of = delays_of;
    }

    /// Returns whether a request is held.
    pub fn holds_request(&self) -> bool {
        !self.state.lock().unwrap().held.is_empty()
    }

    /// Removes the held requests and returns them in the order of their arrival.
    pub fn take_held(&self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.state.lock().unwrap().held)
    }
}

/// Sends a request to a process; its answer is read and discarded in the background.
pub fn deliver(request: &[u8], process: SocketAddr) {
    let mut connection = TcpStream::connect(process).unwrap();
    connection.write_all(request).unwrap();
    thread::spawn(move || read_message(&mut connection));
}

/// Sends a request after a delay to the process that runs then.
fn deliver_late(request: Vec<u8>, delay: Duration, state: Arc<Mutex<State>>) {
    thread::spawn(move || {
        thread::sleep(delay);
        let process = state.lock().unwrap().process;
        if let Some(process) = process {
            // The process may have crashed since.
            let _ = exchange(&request, process);
        }
    });
}

/// Serves a connection until it is closed or the process is gone.
fn serve(mut client: TcpStream, state: &Arc<Mutex<State>>) -> io::Result<()> {
    loop {
        let request = read_message(&mut client)?;
        let text = String::from_utf8_lossy(&request);
        let (fate, delays) = {
            let mut state = state.lock().unwrap();
            if state.is_cut {
                continue;
            }
            if state.chosen.as_ref().is_some_and(|chosen| chosen(&text)) {
                state.held.push(request);
                continue;
            }
            let fates = state.fates.as_mut();
            let fate = fates.map_or(Fate::Forwarded, |fates| fates(&text));
            let delays_of = state.delays_of.as_ref();
            let delays = delays_of.map_or_else(Delays::default, |delays_of| delays_of(&text));
            (fate, delays)
        };
        thread::sleep(delays.request);
        let (process, processes) = {
            let state = state.lock().unwrap();
            if state.is_cut {
                continue;
            }
            (state.process, state.processes)
        };
        match fate {
            Fate::Lost => continue,
            Fate::Delayed(delay) => {
                deliver_late(request, delay, Arc::clone(state));
                continue;
            }
            Fate::Forwarded | Fate::AnswerLost | Fate::AnswerDelayed(_) => {}
        }
        let Some(process) = process else {
            return Ok(());
        };
        let answer = exchange(&request, process);
        match fate {
            Fate::AnswerLost => continue,
            Fate::AnswerDelayed(delay) => thread::sleep(delay),
            Fate::Forwarded | Fate::Lost | Fate::Delayed(_) => {}
        }
        thread::sleep(delays.answer);
        {
            let state = state.lock().unwrap();
            // The end of a process behind a cut is not seen either.
            if state.is_cut {
                continue;
            }
            if state.processes != processes {
                return Ok(());
            }
        }
        client.write_all(&answer?)?;
    }
}

/// Sends a request to a process and returns its answer.
fn exchange(request: &[u8], process: SocketAddr) -> io::Result<Vec<u8>> {
    let mut connection = TcpStream::connect(process)?;
    connection.write_all(request)?;
    read_message(&mut connection)
}

/// Reads a request or an answer up to the end of its body.
fn read_message(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut message = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if message_length(&message).is_some_and(|length| message.len() >= length) {
            return Ok(message);
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => message.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Length of a message with its body; `None` while its header section is incomplete.
fn message_length(message: &[u8]) -> Option<usize> {
    let body = message.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&message[..body]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.map_or(0, |length| length.trim().parse().unwrap());
    Some(body + length)
}
