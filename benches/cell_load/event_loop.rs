//! Event loop for sockets and timers on one thread, so that stand-ins of hundreds of workers need
//! few threads.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use rustix::event::{Timespec, epoll};
use slab::Slab;

/// Limit of events that one call of epoll returns.
const MAX_EVENTS: usize = 256;
/// Longest time that a poll waits without an event.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Handle of a connection: its slot and a generation number, which tells it from later connections
/// in the same slot.
pub type Connection = (usize, u64);

/// An event that the loop reports.
pub enum Event<T> {
    /// The listener with this index accepted a connection.
    Accepted(usize, Connection),
    /// Bytes arrived on a connection.
    Received(Connection, Vec<u8>),
    /// The peer closed the connection, or it failed.
    Closed(Connection),
    /// A timer expired; holds the value that it was set with.
    Due(T),
}

struct Socket {
    stream: TcpStream,
    generation: u64,
    /// Bytes that the operating system has not accepted yet.
    unsent: Vec<u8>,
}

struct Timer<T> {
    at: Instant,
    /// Order of equal times.
    number: u64,
    value: T,
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Timer<T> {}

impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timer<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Event loop over non-blocking sockets and timers.
pub struct EventLoop<T> {
    epoll: OwnedFd,
    listeners: Vec<TcpListener>,
    sockets: Slab<Socket>,
    timers: BinaryHeap<Reverse<Timer<T>>>,
    /// Last number given to a timer or a connection.
    last_number: u64,
}

impl<T> EventLoop<T> {
    pub fn new(listeners: Vec<TcpListener>) -> Self {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC).expect("an epoll");
        for (position, listener) in listeners.iter().enumerate() {
            listener.set_nonblocking(true).expect("a listener");
            let data = epoll::EventData::new_u64(position as u64);
            epoll::add(&epoll, listener, data, epoll::EventFlags::IN).expect("a listener");
        }
        Self {
            epoll,
            listeners,
            sockets: Slab::new(),
            timers: BinaryHeap::new(),
            last_number: 0,
        }
    }

    /// Sets a timer. Timers of the same time expire in the order in which they were set.
    pub fn set_timer(&mut self, at: Instant, value: T) {
        self.last_number += 1;
        let number = self.last_number;
        self.timers.push(Reverse(Timer { at, number, value }));
    }

    /// Adds a connection; returns `None` if the operating system rejects it.
    pub fn add(&mut self, stream: TcpStream) -> Option<Connection> {
        stream.set_nonblocking(true).ok()?;
        stream.set_nodelay(true).ok()?;
        self.last_number += 1;
        let generation = self.last_number;
        let entry = self.sockets.vacant_entry();
        let key = entry.key();
        let data = epoll::EventData::new_u64((self.listeners.len() + key) as u64);
        let flags = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::ET;
        epoll::add(&self.epoll, &stream, data, flags).ok()?;
        entry.insert(Socket {
            stream,
            generation,
            unsent: Vec::new(),
        });
        Some((key, generation))
    }

    /// Queues bytes and sends as many as possible; bytes for an ended connection are dropped.
    pub fn send(&mut self, connection: Connection, bytes: &[u8]) {
        let Some(socket) = self.socket(connection) else {
            return;
        };
        socket.unsent.extend_from_slice(bytes);
        socket.flush();
    }

    /// Closes a connection without an event.
    pub fn close(&mut self, connection: Connection) {
        if self.socket(connection).is_some() {
            self.sockets.remove(connection.0);
        }
    }

    fn socket(&mut self, (key, generation): Connection) -> Option<&mut Socket> {
        let socket = self.sockets.get_mut(key)?;
        (socket.generation == generation).then_some(socket)
    }

    /// Waits for events, at most for `MAX_WAIT`, and returns them with expired timers last.
    pub fn poll(&mut self) -> Vec<Event<T>> {
        let now = Instant::now();
        let next_at = self.timers.peek().map(|Reverse(timer)| timer.at);
        let wait = next_at.map_or(MAX_WAIT, |at| {
            at.saturating_duration_since(now).min(MAX_WAIT)
        });
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: wait.subsec_nanos().into(),
        };
        let mut ready: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS);
        let buffer = rustix::buffer::spare_capacity(&mut ready);
        let _ = epoll::wait(&self.epoll, buffer, Some(&timeout));
        let mut events = Vec::new();
        for event in ready {
            let token = event.data.u64() as usize;
            if token < self.listeners.len() {
                self.accept(token, &mut events);
            } else {
                self.read_and_flush(token - self.listeners.len(), &mut events);
            }
        }
        let now = Instant::now();
        while self
            .timers
            .peek()
            .is_some_and(|Reverse(timer)| timer.at <= now)
        {
            events.extend(
                self.timers
                    .pop()
                    .map(|Reverse(timer)| Event::Due(timer.value)),
            );
        }
        events
    }

    fn accept(&mut self, listener: usize, events: &mut Vec<Event<T>>) {
        while let Ok((stream, _)) = self.listeners[listener].accept() {
            if let Some(connection) = self.add(stream) {
                events.push(Event::Accepted(listener, connection));
            }
        }
    }

    fn read_and_flush(&mut self, key: usize, events: &mut Vec<Event<T>>) {
        let Some(socket) = self.sockets.get_mut(key) else {
            return;
        };
        let connection = (key, socket.generation);
        socket.flush();
        let mut received = Vec::new();
        let mut chunk = [0; 16 * 1024];
        let open = loop {
            match socket.stream.read(&mut chunk) {
                Ok(0) => break false,
                Ok(count) => received.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break false,
            }
        };
        if !received.is_empty() {
            events.push(Event::Received(connection, received));
        }
        if !open {
            self.sockets.remove(key);
            events.push(Event::Closed(connection));
        }
    }
}

impl Socket {
    fn flush(&mut self) {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(count) => drop(self.unsent.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The rest follows when the socket is writable; a failed one is closed on its next
                // read.
                Err(_) => return,
            }
        }
    }
}
