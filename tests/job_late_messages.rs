//! Messages about jobs that arrive after newer ones, or after the state they were meant for was lost.

mod job_support;

use job_support::cell::{Cell, job};
use jujubewinch::protocol::worker::WorkerPhase;

/// Guards against new tasks on a leaving worker because an announcement that it wrote before it began
/// to leave arrives after the later one.
#[test]
fn a_late_announcement_does_not_return_a_leaving_worker_to_service() {
    let cell = Cell::new(&["worker-1"]);
    let late = cell.announcement("worker-1");
    let mut leaving = late.clone();
    leaving.phase = WorkerPhase::Leaving;
    cell.placer.announce(&leaving).unwrap();
    cell.placer.announce(&late).unwrap();
    cell.placer
        .submit(job("render", "batch", 1, false))
        .unwrap();
    cell.run(2, &[]);
    assert!(cell.environment.lock().unwrap().calls.is_empty());
    cell.environment.lock().unwrap().restart("worker-1");
    cell.run(2, &["worker-1"]);
    assert_eq!(cell.start_counts("render").len(), 1);
}
