//! Faults that tests inject into the stand-in runner.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Maximum time for which a connection is blocked without a response.
const MAX_BLOCKED_TIME: Duration = Duration::from_secs(20);

/// Fault of one exchange about a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The request has no effect, and the connection sends no response.
    LoseRequest,
    /// The request takes effect, but the connection sends no response.
    LoseAnswer,
    /// The request takes effect after this time.
    DelayRequest(Duration),
    /// The request takes effect at once and is answered after this time.
    DelayAnswer(Duration),
    /// One bit of the answer is flipped.
    CorruptAnswer,
    /// The second half of the answer is missing.
    TruncateAnswer,
}

#[derive(Default)]
struct State {
    next: VecDeque<Fault>,
    paused: bool,
    /// Number of calls of [`Faults::release_blocked_connections`].
    release_count: u64,
}

/// Injected faults of one runner.
#[derive(Default)]
pub struct Faults {
    state: Mutex<State>,
    changed: Condvar,
}

impl Faults {
    /// Injects faults into the next exchanges about tasks, one each in this order.
    pub fn inject(&self, faults: &[Fault]) {
        self.state.lock().unwrap().next.extend(faults);
    }

    /// Removes and returns the fault for the exchange that begins now.
    pub fn next(&self) -> Option<Fault> {
        self.state.lock().unwrap().next.pop_front()
    }

    /// Pauses or resumes all activity of the runner, as if its process was stopped.
    pub fn pause(&self, paused: bool) {
        self.state.lock().unwrap().paused = paused;
        self.changed.notify_all();
    }

    /// Blocks while the runner is paused.
    pub fn wait_while_paused(&self) {
        let mut state = self.state.lock().unwrap();
        while state.paused {
            state = self.changed.wait(state).unwrap();
        }
    }

    /// Blocks the connection until [`Faults::release_blocked_connections`], at most for
    /// `MAX_BLOCKED_TIME`.
    pub fn block_connection(&self) {
        let ends_at = Instant::now() + MAX_BLOCKED_TIME;
        let mut state = self.state.lock().unwrap();
        let release_count = state.release_count;
        loop {
            let remaining = ends_at.saturating_duration_since(Instant::now());
            if state.release_count != release_count || remaining.is_zero() {
                return;
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    /// Closes all blocked connections and drops the faults that were not used yet.
    pub fn release_blocked_connections(&self) {
        let mut state = self.state.lock().unwrap();
        state.next.clear();
        state.release_count += 1;
        self.changed.notify_all();
    }
}
