//! Relays orders of the placer to workers, and the workers' answers to the placer.
//!
//! One storage host cannot exchange the messages of several hundred workers by itself. The placer
//! decides and records; relays send its orders, renew leases within its grants and report the
//! answers of the workers. A relay keeps no durable state: it stops serving a worker when the grant
//! is not renewed, and the placer assigns the worker to another relay.

pub mod messages;

pub(super) mod link;
mod open_calls;
pub(super) mod orders;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use indexmap::IndexMap;

use super::calls::{OutsideCalls, WorkerTarget};
use crate::ids::{Epoch, HostId, WorkerId};
use link::GrantState;
use messages::{Instructions, RelayEvent, RelayEventKind, RelayReport, RelayedOrder, WorkerOrder};
use open_calls::OpenCallTable;

/// Threads that send start orders; each waits for one answer at a time. A relay serves about ten
/// workers, which answer within some milliseconds; the other threads are for workers that are
/// slower.
const START_THREADS: usize = 32;
/// Threads that send stop orders, so that these never queue behind start orders.
const STOP_THREADS: usize = 4;
/// Threads that send reports: one report is sent while another waits for its answer.
const REPORT_THREADS: usize = 2;
/// Largest number of events in one report.
const MAX_EVENTS: usize = 256;
/// Largest number of events that wait for a report; beyond it, links block.
const MAX_WAITING_EVENTS: usize = 2_048;
/// Time for the answer to a report: three round trips between regions.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);
/// Pause of a thread after a panic.
const PANIC_PAUSE: Duration = Duration::from_millis(100);
/// Stack size of the threads of a relay, which do not recurse.
const STACK_BYTES: usize = 256 * 1024;

/// Sends a report to a placer; an error is the reason why the placer did not accept it.
pub type SendReport =
    Arc<dyn Fn(&HostId, RelayReport, Instant) -> Result<(), String> + Send + Sync>;

/// Relay of a host, which serves the workers that the placer grants to it.
pub struct Relay {
    local_host: HostId,
    outside: OutsideCalls,
    send_report: SendReport,
    served: Mutex<ServedWorkers>,
    open_calls: OpenCallTable,
    /// Start orders, each with the time of its arrival.
    starts: Sender<(Instant, RelayedOrder)>,
    /// Stop orders, each with the time of its arrival.
    stops: Sender<(Instant, RelayedOrder)>,
    /// Events for the next report, each with the epoch of the placer that it is meant for.
    events: Sender<(Epoch, RelayEvent)>,
}

/// Workers that the relay serves, all for one placer.
#[derive(Default)]
struct ServedWorkers {
    /// Highest fencing token of a placer so far; never decreases.
    epoch: Epoch,
    placer: HostId,
    links: IndexMap<WorkerId, Arc<Link>>,
}

/// Connection of the relay to one worker, for the placer of one epoch.
struct Link {
    epoch: Epoch,
    target: WorkerTarget,
    state: Mutex<GrantState>,
    changed: Condvar,
}

impl Relay {
    /// Starts a relay that serves no workers yet. A call to a worker may be carried out up to
    /// `late_call_limit` after it was sent.
    pub fn start(
        local_host: HostId,
        outside: OutsideCalls,
        send_report: SendReport,
        late_call_limit: Duration,
    ) -> Arc<Self> {
        let (starts, start_queue) = unbounded();
        let (stops, stop_queue) = unbounded();
        let (events, event_queue) = bounded(MAX_WAITING_EVENTS);
        let relay = Arc::new(Self {
            local_host,
            outside,
            send_report,
            served: Mutex::default(),
            open_calls: OpenCallTable::new(late_call_limit),
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

    /// Starts a thread of the relay, which runs `run` again after a panic, until it returns. Returns
    /// whether the thread was started.
    fn spawn(
        self: &Arc<Self>,
        name: &'static str,
        run: impl Fn(&Arc<Self>) + Send + 'static,
    ) -> bool {
        let relay = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name(format!("relay-{name}"))
            .stack_size(STACK_BYTES)
            .spawn(move || {
                while catch_unwind(AssertUnwindSafe(|| run(&relay))).is_err() {
                    log::error!(thread = name; "a thread of the relay panicked and continues");
                    thread::sleep(PANIC_PAUSE);
                }
            });
        if let Err(error) = &spawned {
            log::error!(thread = name; "cannot start a thread of the relay: {error}");
        }
        spawned.is_ok()
    }

    /// Applies instructions; those of an earlier placer than the latest have no effect.
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
                // Instructions in flight may overtake each other.
                if link.target.generation > grant.target.generation {
                    continue;
                }
                link.end();
            }
            let link = Arc::new(Link::new(served.epoch, grant, now));
            let serving = Arc::clone(&link);
            if self.spawn("link", move |relay| relay.run_link(&serving)) {
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

    /// Number of workers that the relay currently serves.
    pub fn workers(&self) -> usize {
        self.served.lock().unwrap().links.len()
    }

    fn run_link(self: &Arc<Self>, link: &Arc<Link>) {
        link.run(self);
        let mut served = self.served.lock().unwrap();
        let id = &link.target.worker;
        let current = served.links.get(id);
        if current.is_some_and(|current| Arc::ptr_eq(current, link)) {
            served.links.swap_remove(id);
            self.open_calls.prune(|id| served.links.contains_key(id));
            log::info!(worker = id.as_str(), epoch = link.epoch; "no longer serves a worker");
        }
    }

    /// Link of the placer's epoch to an incarnation of a worker; `None` unless the relay serves it.
    fn link(&self, target: &WorkerTarget, epoch: Epoch) -> Option<Arc<Link>> {
        let served = self.served.lock().unwrap();
        let link = served.links.get(&target.worker)?;
        (link.epoch == epoch && link.serves(target)).then(|| Arc::clone(link))
    }

    fn is_current(&self, epoch: Epoch) -> bool {
        self.served.lock().unwrap().epoch == epoch
    }

    /// Queues an event for the next report; blocks while too many events wait.
    fn queue_event(&self, epoch: Epoch, target: &WorkerTarget, kind: RelayEventKind) {
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
                host: self.local_host.clone(),
                events: current.map(|(_, event)| event).collect(),
            };
            if report.events.is_empty() {
                continue;
            }
            let events = report.events.len();
            let deadline = Instant::now() + REPORT_TIMEOUT;
            if let Err(reason) = (self.send_report)(&placer, report, deadline) {
                log::warn!(epoch, placer = placer.as_str(), events; "the placer did not accept a report: {reason}");
            }
        }
    }
}
