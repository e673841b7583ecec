//! Detects times in which the process did not run: it was stopped, its machine was suspended, or it got
//! no processor time.
//!
//! What arrives during a pause waits in the sockets of the process. Clocks that are read afterwards do
//! not show for how long.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{io, thread};

use rustix::time::{ClockId, clock_gettime};

/// Time since the start of the machine, which counts the time in which it was suspended.
pub type BootTime = Duration;

/// Interval in which the process records that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest gap between two ticks that counts as a pause. Callers wait for 2.5 s or longer, and a busy
/// process may tick some hundred milliseconds late.
pub const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Time within which a process has read what arrived during a pause.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(1);
/// Stack size of the ticking thread, which does not recurse.
const STACK_BYTES: usize = 64 * 1024;

/// Remembers the latest pause of the process.
#[derive(Debug, Default)]
pub struct PauseMonitor {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Time of the latest tick; `None` before the first, and nothing counts as a pause until then.
    ticked_at: Option<BootTime>,
    latest: Option<Pause>,
}

/// A time in which the process did not run, or only for less than [`CATCH_UP_TIME`] on end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Pause {
    began_at: BootTime,
    ended_at: BootTime,
}

impl PauseMonitor {
    /// Starts a monitor with a thread that ticks until the monitor is dropped.
    ///
    /// # Errors
    ///
    /// The error of starting the thread.
    pub fn start() -> io::Result<Arc<Self>> {
        let monitor = Arc::<Self>::default();
        let ticking = Arc::downgrade(&monitor);
        let tick = move || {
            while let Some(monitor) = ticking.upgrade() {
                if let Some(paused) = monitor.record_tick(boot_time()) {
                    log::warn!(paused_ms = paused.as_millis() as u64; "the process did not run");
                }
                drop(monitor);
                thread::sleep(TICK_INTERVAL);
            }
        };
        thread::Builder::new()
            .name("pause-monitor".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(tick)?;
        Ok(monitor)
    }

    /// Records that the process runs at `now`, and returns the length of the pause that has just ended.
    pub fn record_tick(&self, now: BootTime) -> Option<Duration> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = state.pause_until(now);
        state.ticked_at = Some(now);
        let pause = ended?;
        state.latest = Some(pause);
        Some(pause.ended_at.saturating_sub(pause.began_at))
    }

    /// Returns the longest time for which bytes that are read at `now` may have waited in a socket
    /// because of a pause; zero if there was none lately.
    pub fn longest_wait(&self, now: BootTime) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        // After a pause, other threads may run before the one that ticks.
        let latest = state.pause_until(now).or(state.latest);
        latest
            .filter(|pause| now < pause.ended_at + CATCH_UP_TIME)
            .map_or(Duration::ZERO, |pause| now.saturating_sub(pause.began_at))
    }
}

impl State {
    /// Returns the pause that has lasted until `now`, joined with one that ended shortly before it.
    fn pause_until(&self, now: BootTime) -> Option<Pause> {
        let ticked_at = self.ticked_at?;
        if now.saturating_sub(ticked_at) < MIN_PAUSE {
            return None;
        }
        let earlier = self
            .latest
            .filter(|pause| ticked_at < pause.ended_at + CATCH_UP_TIME);
        Some(Pause {
            began_at: earlier.map_or(ticked_at, |pause| pause.began_at),
            ended_at: now,
        })
    }
}

/// Returns the present time of the clock that counts suspensions of the machine.
pub fn boot_time() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    Duration::try_from(now).unwrap_or_default()
}
