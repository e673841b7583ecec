//! Tests of the detection of times in which a process did not run.

use std::time::Duration;

use jujubewinch::process_pause::{CATCH_UP_TIME, PauseMonitor};

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

/// Returns a monitor that has ticked at the given times.
fn ticked(times_ms: &[u64]) -> PauseMonitor {
    let monitor = PauseMonitor::default();
    for time_ms in times_ms {
        monitor.record_tick(at(*time_ms));
    }
    monitor
}

/// Guards against requests that are refused by a process that was never paused.
#[test]
fn a_process_that_runs_has_no_pauses() {
    assert_eq!(ticked(&[]).longest_wait(at(60_000)), Duration::ZERO);
    let monitor = ticked(&[0, 250, 1_200, 1_450]);
    assert_eq!(monitor.longest_wait(at(2_400)), Duration::ZERO);
}

/// Guards against a request that counts as new although it has waited during a pause, also when it is
/// read before the next tick, and against pauses that are remembered for ever.
#[test]
fn what_is_read_soon_after_a_pause_may_have_waited_since_its_beginning() {
    let monitor = ticked(&[0, 250]);
    assert_eq!(
        monitor.longest_wait(at(3_550)),
        Duration::from_millis(3_300)
    );
    assert_eq!(
        monitor.record_tick(at(3_600)),
        Some(Duration::from_millis(3_350))
    );
    assert_eq!(
        monitor.longest_wait(at(4_000)),
        Duration::from_millis(3_750)
    );
    assert_eq!(monitor.record_tick(at(3_850)), None);
    assert_eq!(
        monitor.longest_wait(at(3_600) + CATCH_UP_TIME),
        Duration::ZERO
    );
}

/// Guards against requests of the first of two pauses, between which the process had no time to read
/// them.
#[test]
fn pauses_with_a_short_time_between_them_count_as_one() {
    let monitor = ticked(&[0, 3_000, 3_250, 5_250]);
    assert_eq!(
        monitor.longest_wait(at(5_300)),
        Duration::from_millis(5_300)
    );
    let monitor = ticked(&[0, 3_000, 3_250, 3_500, 3_750, 4_000, 4_250, 6_250]);
    assert_eq!(
        monitor.longest_wait(at(6_300)),
        Duration::from_millis(2_050)
    );
}
