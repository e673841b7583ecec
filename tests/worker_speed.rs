//! Tests of the comparison of workers by the run times of completed stages.

use jujubewinch::workflow::decisions::worker_speed::{WorkerSpeed, differences};

/// Returns run times of a stage whose tasks differ by up to a third in a fixed pattern, on workers
/// that each take `factors` times as long.
fn run_times_ms(factors: &[f64], stage: usize) -> Vec<u64> {
    let tasks = factors.iter().enumerate().map(|(position, factor)| {
        let pattern = ((stage * 7 + position * 5) % 11) as f64 / 11.0;
        ((800.0 + 500.0 * pattern) * factor) as u64
    });
    tasks.collect()
}

fn measure(factors: &[f64], stages: usize) -> Vec<WorkerSpeed> {
    let mut speeds = vec![WorkerSpeed::default(); factors.len()];
    for stage in 0..stages {
        let differences = differences(&run_times_ms(factors, stage)).unwrap();
        for (speed, difference) in speeds.iter_mut().zip(differences) {
            speed.record(difference);
        }
    }
    speeds
}

/// Guards against slow workers that get the same work as others although a third of the cell takes
/// 1.3 times as long, and against usual ones that count as slow.
#[test]
fn workers_that_take_longer_count_as_slow() {
    let factors = [1.0, 1.0, 1.3, 1.0, 1.0, 1.3, 1.0, 1.0, 1.3];
    for (speed, factor) in measure(&factors, 22).iter().zip(factors) {
        assert_eq!(speed.slowness() > 1.0, factor > 1.0, "{speed:?}");
    }
}

/// Guards against an order of equal workers that follows the differences of their tasks.
#[test]
fn equal_workers_count_as_equal() {
    for speed in measure(&[1.0; 11], 22) {
        assert!(speed.is_known());
        assert!((speed.slowness() - 1.0).abs() < f64::EPSILON, "{speed:?}");
    }
}

/// Guards against a worker that counts as slow after a few runs, or for ever.
#[test]
fn a_speed_needs_runs_and_is_forgotten() {
    let mut speed = WorkerSpeed::default();
    for _ in 0..4 {
        speed.record(0.5);
    }
    assert!(!speed.is_known() && speed.slowness() <= 1.0);
    speed.record(0.5);
    assert!(speed.slowness() > 1.0);
    for _ in 0..400 {
        speed.record(-0.1);
    }
    assert!(speed.slowness() <= 1.0);
}

/// Guards against one task of unusual length that makes its worker count as slow for long, and
/// against stages that are too small to compare.
#[test]
fn unusual_run_times_count_little() {
    assert_eq!(differences(&[100, 300]), None);
    assert_eq!(differences(&[100, 0, 100]), None);
    let differences = differences(&[1_000, 1_000, 1_000, 50_000]).unwrap();
    assert!(differences[3] <= 0.7 && differences[0] >= -0.7);
}
