//! Links between the hosts: bytes that arrive at the known address of a host are forwarded to its
//! peer address with a delay, and those of the reverse direction likewise.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use indexmap::IndexMap;

use super::event_loop::{Connection, Event, EventLoop};
use super::{ONE_WAY_DELAY, entry_hosts, known_address, peer_address, storage_hosts};

/// Running links; they stop when this is dropped.
pub struct Links {
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// What a link forwards after its delay.
enum Delivery {
    Bytes(Connection, Vec<u8>),
    Close(Connection),
}

impl Links {
    pub fn start() -> Self {
        let hosts: Vec<u8> = storage_hosts().chain(entry_hosts()).collect();
        let listeners = hosts
            .iter()
            .map(|host| TcpListener::bind(known_address(*host)).expect("a free port"))
            .collect();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let thread = thread::spawn(move || run(EventLoop::new(listeners), &hosts, &stop));
        Self {
            stopping,
            thread: Some(thread),
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(mut events: EventLoop<Delivery>, hosts: &[u8], stopping: &AtomicBool) {
    let mut other_ends: IndexMap<Connection, Connection> = IndexMap::new();
    while !stopping.load(Ordering::Acquire) {
        for event in events.poll() {
            match event {
                Event::Accepted(listener, connection) => {
                    let target = peer_address(hosts[listener]);
                    let stream = TcpStream::connect(target).ok();
                    let Some(other) = stream.and_then(|stream| events.add(stream)) else {
                        events.close(connection);
                        continue;
                    };
                    other_ends.insert(connection, other);
                    other_ends.insert(other, connection);
                }
                Event::Received(connection, bytes) => {
                    if let Some(other) = other_ends.get(&connection) {
                        let delivery = Delivery::Bytes(*other, bytes);
                        events.set_timer(Instant::now() + ONE_WAY_DELAY, delivery);
                    }
                }
                Event::Closed(connection) => {
                    if let Some(other) = other_ends.swap_remove(&connection) {
                        events.set_timer(Instant::now() + ONE_WAY_DELAY, Delivery::Close(other));
                    }
                }
                Event::Due(Delivery::Bytes(connection, bytes)) => events.send(connection, &bytes),
                Event::Due(Delivery::Close(connection)) => {
                    other_ends.swap_remove(&connection);
                    events.close(connection);
                }
            }
        }
    }
}
