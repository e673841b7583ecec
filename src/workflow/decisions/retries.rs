//! Paces the retries of a host that searches for the placer.

use std::time::Duration;

/// Longest pause before the first retries.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Retries with the first pause: with a round trip of up to 60 ms each, they cover a take-over,
/// which takes about 0.5 s.
const QUICK_RETRIES: u32 = 6;
/// Doublings of the pause, up to 320 ms. A placer that is lost for longer returns to an overloaded
/// cell, where retries of all hosts every 40 ms would use the processor time that it needs.
const MAX_DOUBLINGS: u32 = 3;

/// Pause before the next retry. The jitter, from 0 to 1, spreads hosts that lost the placer at
/// the same moment over the second half of the pause.
pub fn pause(retries: u32, jitter: f64) -> Duration {
    let doublings = retries.saturating_sub(QUICK_RETRIES).min(MAX_DOUBLINGS);
    let longest = FIRST_PAUSE * 2_u32.pow(doublings);
    longest.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
