//! Faults of the stand-in runner that tests switch on.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Longest time for which a silent connection stays open.
const MAX_SILENCE: Duration = Duration::from_secs(20);

/// Fault of one exchange about a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The request is not seen and the connection goes silent.
    LoseRequest,
    /// The request takes effect and the connection goes silent.
    LoseAnswer,
    /// The request takes effect after this time.
    LateRequest(Duration),
    /// The request takes effect and is answered after this time.
    LateAnswer(Duration),
    /// The answer arrives with a flipped bit.
    DamageAnswer,
    /// The second half of the answer is missing.
    CutAnswer,
}

#[derive(Default)]
struct State {
    next: VecDeque<Fault>,
    paused: bool,
    /// Grows with each end of silence.
    silence: u64,
}

/// Faults of one runner.
#[derive(Default)]
pub struct Faults {
    state: Mutex<State>,
    changed: Condvar,
}

impl Faults {
    /// Strikes the next exchanges about tasks, in this order.
    pub fn inject(&self, faults: &[Fault]) {
        self.state.lock().unwrap().next.extend(faults);
    }

    /// Fault of the exchange that begins now.
    pub fn next(&self) -> Option<Fault> {
        self.state.lock().unwrap().next.pop_front()
    }

    /// Stops or continues everything that the runner does, as if the process was paused.
    pub fn pause(&self, paused: bool) {
        self.state.lock().unwrap().paused = paused;
        self.changed.notify_all();
    }

    /// Returns once the runner is not paused.
    pub fn wait_while_paused(&self) {
        let mut state = self.state.lock().unwrap();
        while state.paused {
            state = self.changed.wait(state).unwrap();
        }
    }

    /// Blocks the connection until [`Faults::end_silence`].
    pub fn stay_silent(&self) {
        let ends_at = Instant::now() + MAX_SILENCE;
        let mut state = self.state.lock().unwrap();
        let silence = state.silence;
        loop {
            let remaining = ends_at.saturating_duration_since(Instant::now());
            if state.silence != silence || remaining.is_zero() {
                return;
            }
            state = self.changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    /// Closes all silent connections and drops the faults that did not strike yet.
    pub fn end_silence(&self) {
        let mut state = self.state.lock().unwrap();
        state.next.clear();
        state.silence += 1;
        self.changed.notify_all();
    }
}
