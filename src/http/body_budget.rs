//! Memory budget of the request bodies of a process, shared by all of its listeners.
//!
//! A body reserves memory as it grows and releases it when the reservation is dropped, also if the
//! handler panics. Without room, bodies that arrive too slowly are closed, slowest first. If there
//! are none, the body that asks is refused. See docs/design/body-budget.md.

use std::net::{IpAddr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use slab::Slab;

use crate::telemetry::metrics::metrics;

/// Age from which a slow body may be closed in favour of another one, and time without progress
/// after which a body counts as slow.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(1);
/// Average rate below which a body is slow: it takes more than 16 s for 262,144 bytes.
const SLOW_BYTES_PER_SECOND: u128 = 16 * 1024;
/// Bytes that count as progress. Single bytes at long intervals would keep a nearly complete body
/// from ever being slow.
const PROGRESS_BYTES: usize = 1024;
/// Longest wait for the memory of closed bodies. Their threads release it when they next run.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time before the minimum rate applies, which covers the start of a connection.
const RATE_GRACE: Duration = Duration::from_secs(15);
/// Minimum interval of the log lines about refused bodies.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits of the bodies that a process holds.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// Maximum number of bytes over all listeners.
    pub max_total_bytes: usize,
    /// Maximum number of bytes from one IP address.
    pub max_address_bytes: usize,
    /// Time without a received byte after which a body is dropped.
    pub stall_timeout: Duration,
    /// Average rate below which an unfinished body is dropped, after a grace period of 15 s.
    pub min_bytes_per_second: usize,
}

impl Default for BodyLimits {
    /// A fifth of the memory of a machine of 160 MB, the idle timeout that callers are promised,
    /// and a rate that fills the published body limit in four minutes.
    fn default() -> Self {
        Self {
            max_total_bytes: 32 * 1024 * 1024,
            max_address_bytes: 16 * 1024 * 1024,
            stall_timeout: Duration::from_secs(15),
            min_bytes_per_second: 1024,
        }
    }
}

/// Reason for which a body was not received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The body exceeds the limit of its listener.
    TooLarge,
    /// The budget of the process is used up.
    NoRoom,
    /// The share of the client's address is used up.
    AddressShare,
    /// The body was closed in favour of another one since it was slow.
    Evicted,
    /// The body arrived below the minimum rate or made no progress.
    Timeout,
}

impl Refusal {
    fn label(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoRoom => "no_room",
            Self::AddressShare => "address_share",
            Self::Evicted => "evicted",
            Self::Timeout => "timeout",
        }
    }
}

/// Budget of the request bodies of a process.
pub struct BodyBudget {
    limits: BodyLimits,
    ledger: Mutex<Ledger>,
    released: Condvar,
}

/// Invariant: `held_bytes` is the sum of `by_address` and of the bytes of all bodies.
#[derive(Default)]
struct Ledger {
    held_bytes: usize,
    by_address: IndexMap<Option<IpAddr>, usize>,
    bodies: Slab<Body>,
}

struct Body {
    address: Option<IpAddr>,
    bytes: usize,
    started_at: Instant,
    arrived: Arc<Arrived>,
    /// Connection of the body; `None` once the body is complete or was closed.
    stream: Option<Arc<TcpStream>>,
}

/// What has arrived of a body. The thread of the connection writes it without the lock.
#[derive(Default)]
struct Arrived {
    bytes: AtomicUsize,
    /// Number of bytes at the latest progress.
    progress_bytes: AtomicUsize,
    /// Time from the start of the body to its latest progress of [`PROGRESS_BYTES`].
    at_ms: AtomicU64,
}

/// Memory reserved for one body; released when dropped.
pub struct Reservation {
    budget: Arc<BodyBudget>,
    key: usize,
    bytes: usize,
    started_at: Instant,
    arrived: Arc<Arrived>,
}

static PROCESS: OnceLock<Arc<BodyBudget>> = OnceLock::new();

/// Sets the limits of the process. Has no effect once a listener has started.
pub fn configure(limits: BodyLimits) {
    let _ = PROCESS.set(Arc::new(BodyBudget::new(limits)));
}

/// Returns the budget of the process, with default limits unless [`configure`] was called before.
pub fn process() -> &'static Arc<BodyBudget> {
    static GAUGE: OnceLock<()> = OnceLock::new();
    let budget = PROCESS.get_or_init(|| Arc::new(BodyBudget::new(BodyLimits::default())));
    GAUGE.get_or_init(|| {
        let gauge = metrics()
            .meter
            .u64_observable_gauge("jujubewinch_body_bytes_held");
        let read = |budget: &BodyBudget| budget.held_bytes() as u64;
        gauge
            .with_callback(move |observer| observer.observe(read(budget), &[]))
            .build();
    });
    budget
}

impl BodyBudget {
    /// Creates an empty budget.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            ledger: Mutex::default(),
            released: Condvar::new(),
        }
    }

    /// Number of bytes reserved by all bodies.
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a body without memory. `stream` is shut down if the body has to make room.
    pub fn open(
        self: &Arc<Self>,
        address: Option<IpAddr>,
        stream: Option<Arc<TcpStream>>,
    ) -> Reservation {
        let started_at = Instant::now();
        let arrived = Arc::new(Arrived::default());
        let body = Body {
            address,
            bytes: 0,
            started_at,
            arrived: Arc::clone(&arrived),
            stream,
        };
        Reservation {
            key: self.lock().bodies.insert(body),
            budget: Arc::clone(self),
            bytes: 0,
            started_at,
            arrived,
        }
    }

    /// Returns the limit that further bytes of an address would exceed.
    fn exceeded(&self, ledger: &Ledger, address: Option<IpAddr>, more: usize) -> Option<Refusal> {
        let of_address = ledger.by_address.get(&address).copied().unwrap_or(0);
        if of_address + more > self.limits.max_address_bytes {
            return Some(Refusal::AddressShare);
        }
        (ledger.held_bytes + more > self.limits.max_total_bytes).then_some(Refusal::NoRoom)
    }
}

impl Ledger {
    /// Closes the slowest bodies until they release `needed` bytes, only those of `address` if it is
    /// set. Returns whether any body was closed.
    fn close_slowest(
        &mut self,
        asking: usize,
        address: Option<Option<IpAddr>>,
        needed: usize,
    ) -> bool {
        let now = Instant::now();
        let mut slow: Vec<(u128, usize)> = Vec::new();
        for (key, body) in &self.bodies {
            let age = now.saturating_duration_since(body.started_at);
            let wanted = address.is_none_or(|address| address == body.address);
            if key == asking || !wanted || body.stream.is_none() || age < MIN_EVICTION_AGE {
                continue;
            }
            let received = body.arrived.bytes.load(Ordering::Relaxed) as u128;
            let last_at_ms = body.arrived.at_ms.load(Ordering::Relaxed);
            let idle = age.saturating_sub(Duration::from_millis(last_at_ms));
            let rate = received * 1000 / age.as_millis().max(1);
            if idle >= MIN_EVICTION_AGE || rate < SLOW_BYTES_PER_SECOND {
                slow.push((rate, key));
            }
        }
        slow.sort_unstable();
        let mut freed = 0;
        for &(_, key) in &slow {
            if freed >= needed {
                break;
            }
            let body = &mut self.bodies[key];
            freed += body.bytes;
            if let Some(stream) = body.stream.take() {
                let _ = stream.shutdown(Shutdown::Both);
                record_refusal(Refusal::Evicted);
            }
        }
        freed > 0
    }
}

impl Reservation {
    /// Reserves memory for a buffer of `bytes` bytes.
    ///
    /// # Errors
    ///
    /// The limit without room.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Refusal> {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return Ok(());
        };
        let budget = Arc::clone(&self.budget);
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let mut ledger = budget.lock();
        let address = ledger.bodies[self.key].address;
        let mut waits = false;
        loop {
            let Some(refusal) = budget.exceeded(&ledger, address, more) else {
                ledger.held_bytes += more;
                *ledger.by_address.entry(address).or_default() += more;
                ledger.bodies[self.key].bytes = bytes;
                self.bytes = bytes;
                return Ok(());
            };
            let among = (refusal == Refusal::AddressShare).then_some(address);
            waits |= ledger.close_slowest(self.key, among, more);
            let now = Instant::now();
            if !waits || now >= deadline {
                return Err(refusal);
            }
            let waited = budget.released.wait_timeout(ledger, deadline - now);
            ledger = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Records that `bytes` bytes have arrived so far, and returns when the body is dropped unless
    /// more arrive.
    pub fn progress(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let age = now.saturating_duration_since(self.started_at);
        self.arrived.bytes.store(bytes, Ordering::Relaxed);
        let progress_bytes = self.arrived.progress_bytes.load(Ordering::Relaxed);
        if bytes >= progress_bytes + PROGRESS_BYTES {
            let arrived = &self.arrived;
            arrived.progress_bytes.store(bytes, Ordering::Relaxed);
            arrived
                .at_ms
                .store(age.as_millis() as u64, Ordering::Relaxed);
        }
        let limits = &self.budget.limits;
        let stalled_at = now + limits.stall_timeout;
        let earned_ms =
            (bytes as u64).saturating_mul(1000) / limits.min_bytes_per_second.max(1) as u64;
        let too_slow_at = self.started_at + RATE_GRACE + Duration::from_millis(earned_ms);
        stalled_at.min(too_slow_at)
    }

    /// Marks the body as complete; it keeps its memory and can no longer be closed.
    ///
    /// # Errors
    ///
    /// `Evicted` if the body was closed before.
    pub fn complete(&self) -> Result<(), Refusal> {
        let stream = self.budget.lock().bodies[self.key].stream.take();
        stream.map(|_| ()).ok_or(Refusal::Evicted)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut ledger = self.budget.lock();
        let body = ledger.bodies.remove(self.key);
        ledger.held_bytes -= body.bytes;
        if let Some(of_address) = ledger.by_address.get_mut(&body.address) {
            *of_address -= body.bytes;
            if *of_address == 0 {
                ledger.by_address.swap_remove(&body.address);
            }
        }
        drop(ledger);
        self.budget.released.notify_all();
    }
}

/// Counts a refused body and logs the number of refusals at most once in ten seconds.
pub fn record_refusal(refusal: Refusal) {
    static REFUSED: OnceLock<Counter<u64>> = OnceLock::new();
    static LOGGED: Mutex<(Option<Instant>, u64)> = Mutex::new((None, 0));
    let cause = refusal.label();
    let counter = REFUSED.get_or_init(|| {
        let counter = metrics().meter.u64_counter("jujubewinch_bodies_refused");
        counter.build()
    });
    counter.add(1, &[KeyValue::new("cause", cause)]);
    let mut logged = LOGGED.lock().unwrap_or_else(PoisonError::into_inner);
    logged.1 += 1;
    let now = Instant::now();
    if logged.0.is_some_and(|at| now < at + LOG_INTERVAL) {
        return;
    }
    log::warn!(refused = logged.1, latest_cause = cause; "request bodies refused");
    *logged = (Some(now), 0);
}
