//! Relay: a host that speaks to workers on behalf of the placer.
//!
//! One storage host cannot exchange the messages of several hundred workers by itself. The placer
//! decides and records; relays send its orders, renew leases within its grants and report what the
//! workers answer. A relay holds no state of its own: it stops when its grants are not renewed, and
//! the placer gives its workers to another one.

pub mod messages;

mod link;
mod orders;

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use indexmap::IndexMap;

use super::calls::{OutsideCalls, WorkerTarget};
use crate::ids::{Epoch, HostId, WorkerId};
use link::GrantState;
use messages::{Instructions, RelayEvent, RelayEventKind, RelayReport, RelayedOrder, WorkerOrder};

/// Threads that send start orders; each waits for one answer at a time. A relay serves about ten
/// workers, which answer within some milliseconds; the others are for workers that do not.
const START_THREADS: usize = 32;
/// Threads that send stop orders, which never wait behind start orders.
const STOP_THREADS: usize = 4;
/// Reports on their way at once: one is sent while another waits for its answer.
const REPORT_THREADS: usize = 2;
/// Events in one report.
const MAX_EVENTS: usize = 256;
/// Events that wait for a report; a link waits beyond that.
const MAX_WAITING_EVENTS: usize = 2_048;
/// Time for the answer to a report: three round trips between regions.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);
/// Stack of the threads of a relay; they do not recurse.
const STACK_BYTES: usize = 256 * 1024;

/// Sends a report to a placer; the text says why it was not taken.
pub type SendReport =
    Arc<dyn Fn(&HostId, RelayReport, Instant) -> Result<(), String> + Send + Sync>;

/// The relay of a host.
pub struct Relay {
    own: HostId,
    outside: OutsideCalls,
    send_report: SendReport,
    served: Mutex<Served>,
    /// Orders with the time of their arrival.
    starts: Sender<(Instant, RelayedOrder)>,
    stops: Sender<(Instant, RelayedOrder)>,
    events: Sender<(Epoch, RelayEvent)>,
}

/// Workers that the relay serves, all for one placer.
#[derive(Default)]
struct Served {
    /// Highest fencing token of a placer; never goes back.
    epoch: Epoch,
    placer: HostId,
    links: IndexMap<WorkerId, Arc<Link>>,
}

/// A worker that the relay serves.
struct Link {
    epoch: Epoch,
    target: WorkerTarget,
    state: Mutex<GrantState>,
    changed: Condvar,
}

impl Relay {
    /// Starts the threads of a relay without workers.
    pub fn start(own: HostId, outside: OutsideCalls, send_report: SendReport) -> Arc<Self> {
        let (starts, start_queue) = unbounded();
        let (stops, stop_queue) = unbounded();
        let (events, event_queue) = bounded(MAX_WAITING_EVENTS);
        let relay = Arc::new(Self {
            own,
            outside,
            send_report,
            served: Mutex::default(),
            starts,
            stops,
            events,
        });
        for (threads, queue) in [(START_THREADS, start_queue), (STOP_THREADS, stop_queue)] {
            for _ in 0..threads {
                let queue = queue.clone();
                relay.spawn("orders", move |relay| relay.run_orders(&queue));
            }
        }
        for _ in 0..REPORT_THREADS {
            let queue = event_queue.clone();
            relay.spawn("reports", move |relay| relay.run_reports(&queue));
        }
        relay
    }

    fn spawn(self: &Arc<Self>, name: &str, run: impl FnOnce(&Arc<Self>) + Send + 'static) -> bool {
        let relay = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name(format!("relay-{name}"))
            .stack_size(STACK_BYTES)
            .spawn(move || run(&relay));
        if let Err(error) = &spawned {
            log::error!(thread = name; "cannot start a thread of the relay: {error}");
        }
        spawned.is_ok()
    }

    /// Takes instructions; those of an earlier placer than the latest have no effect.
    pub fn accept(self: &Arc<Self>, instructions: Instructions) {
        let now = Instant::now();
        let mut served = self.served.lock().unwrap();
        if instructions.epoch < served.epoch {
            log::info!(
                epoch = instructions.epoch, latest = served.epoch,
                placer = instructions.placer.as_str();
                "instructions of an earlier placer ignored"
            );
            return;
        }
        if instructions.epoch > served.epoch {
            log::info!(
                epoch = instructions.epoch, placer = instructions.placer.as_str(),
                workers = instructions.grants.len();
                "relays orders for another placer"
            );
            for (_, link) in served.links.drain(..) {
                link.end();
            }
            served.epoch = instructions.epoch;
            served.placer = instructions.placer;
        }
        for grant in instructions.grants {
            let id = grant.target.worker.clone();
            if let Some(link) = served.links.get(&id) {
                if link.serves(&grant.target) && link.renew(&grant, now) {
                    continue;
                }
                link.end();
            }
            let link = Arc::new(Link::new(served.epoch, grant, now));
            let serving = Arc::clone(&link);
            if self.spawn("link", move |relay| relay.serve(&serving)) {
                served.links.insert(id, link);
            }
        }
        drop(served);
        for order in instructions.orders {
            let queue = match order.order {
                WorkerOrder::Start(_) => &self.starts,
                WorkerOrder::Stop(_) => &self.stops,
            };
            let _ = queue.send((now, order));
        }
    }

    /// Workers that the relay serves at present.
    pub fn workers(&self) -> usize {
        self.served.lock().unwrap().links.len()
    }

    fn serve(self: &Arc<Self>, link: &Arc<Link>) {
        link.run(self);
        let mut served = self.served.lock().unwrap();
        let id = &link.target.worker;
        let current = served.links.get(id);
        if current.is_some_and(|current| Arc::ptr_eq(current, link)) {
            served.links.swap_remove(id);
            log::info!(worker = id.as_str(), epoch = link.epoch; "no longer serves a worker");
        }
    }

    /// Whether the relay serves this incarnation of a worker.
    fn serves(&self, target: &WorkerTarget) -> bool {
        let served = self.served.lock().unwrap();
        let link = served.links.get(&target.worker);
        link.is_some_and(|link| link.serves(target))
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.served.lock().unwrap().epoch == epoch
    }

    /// Queues an event for the next report.
    fn note(&self, epoch: Epoch, target: &WorkerTarget, kind: RelayEventKind) {
        let event = RelayEvent {
            worker: target.worker.clone(),
            incarnation: target.incarnation,
            kind,
        };
        let _ = self.events.send((epoch, event));
    }

    fn run_reports(self: &Arc<Self>, queue: &Receiver<(Epoch, RelayEvent)>) {
        for first in queue {
            let (epoch, placer) = {
                let served = self.served.lock().unwrap();
                (served.epoch, served.placer.clone())
            };
            let more = queue.try_iter().take(MAX_EVENTS - 1);
            let events = std::iter::once(first).chain(more);
            let current = events.filter(|(of, _)| *of == epoch);
            let report = RelayReport {
                epoch,
                host: self.own.clone(),
                events: current.map(|(_, event)| event).collect(),
            };
            if report.events.is_empty() {
                continue;
            }
            let events = report.events.len();
            let deadline = Instant::now() + REPORT_TIMEOUT;
            if let Err(reason) = (self.send_report)(&placer, report, deadline) {
                log::warn!(epoch, placer = placer.as_str(), events; "a report was not taken: {reason}");
            }
        }
    }
}
