//! Tests a cell at the size of the largest deployments: 350 workers and 1,000 concurrent calls.

mod scale_support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use jujubewinch::workflow::calls::{Call, Reply};
use jujubewinch::workflow::host::WorkflowHost;
use jujubewinch::workflow::state::JobPhase;

use scale_support::{JobKind, ScaledCell, WAIT_TIMEOUT, WORKERS, await_some, threads};

/// Largest number of threads of one kind in a host, independent of the numbers of waiting calls and
/// of workers. With stacks of 256 KiB they use 64 MB, a quarter of the 256 MB that a control host
/// may use.
const MAX_THREADS_OF_A_KIND: usize = 256;
/// Calls that wait at the same time: the urgent jobs that the largest deployments receive in three
/// seconds, the longest time that a caller waits, and their retries.
const WAITING_CALLS: usize = 1_000;
/// Numbers of storage hosts and of entry hosts.
const HOSTS: (usize, usize) = (3, 4);
/// Stack of a caller's thread, which only waits for the reply to one call.
const CALLER_STACK_BYTES: usize = 128 * 1024;
/// Pause of a caller after a call without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Lets only one test at a time run a cell, because threads are counted over the whole process.
fn lock_cell() -> MutexGuard<'static, ()> {
    static CELL: Mutex<()> = Mutex::new(());
    CELL.lock().unwrap_or_else(PoisonError::into_inner)
}

fn job_id(number: usize) -> String {
    format!("job-{number}")
}

/// Submits each job from its own thread, through all entry hosts, and calls the closure once every
/// thread has begun to submit. Returns the number of accepted jobs.
fn submit_at_once(
    cell: &mut ScaledCell,
    jobs: usize,
    meanwhile: impl FnOnce(&mut ScaledCell),
) -> usize {
    let sent = AtomicUsize::new(0);
    let accepted = AtomicUsize::new(0);
    let entry_hosts = cell.entry_hosts().to_vec();
    thread::scope(|scope| {
        for number in 0..jobs {
            let host = &entry_hosts[number % entry_hosts.len()];
            let (sent, accepted) = (&sent, &accepted);
            let call = JobKind::of_job(number).submission(&job_id(number));
            let run = move || {
                sent.fetch_add(1, Ordering::AcqRel);
                if submit(host, &call) {
                    accepted.fetch_add(1, Ordering::AcqRel);
                }
            };
            thread::Builder::new()
                .stack_size(CALLER_STACK_BYTES)
                .spawn_scoped(scope, run)
                .unwrap();
        }
        await_some(|| (sent.load(Ordering::Acquire) == jobs).then_some(()));
        meanwhile(cell);
    });
    accepted.load(Ordering::Acquire)
}

/// Submits a job and retries after a refusal or a call without a reply, as callers do. Returns
/// whether the job was accepted within `WAIT_TIMEOUT`.
fn submit(host: &WorkflowHost, call: &Call) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        match host.call(call, deadline) {
            Ok(Reply::Accepted) => return true,
            Ok(Reply::NotAccepted { retry_after_ms } | Reply::Busy { retry_after_ms }) => {
                thread::sleep(Duration::from_millis(retry_after_ms));
            }
            Ok(_) => return false,
            Err(_) => thread::sleep(RETRY_PAUSE),
        }
    }
    false
}

/// Guards against a storage host that starts a thread for each waiting call: in an incident on the
/// largest deployments the leader had 550 to 1,370 such threads, which starved the log of processor
/// time until the leader lost its leadership. The majority stops while the calls wait, so that
/// their commit cannot complete in this term; the leader of the next term has to answer all calls.
#[test]
fn waiting_calls_share_a_bounded_number_of_threads() {
    let _guard = lock_cell();
    let folder = tempfile::tempdir().unwrap();
    let mut cell = ScaledCell::start(folder.path(), 17_350, HOSTS, 0);
    let monitor = threads::ThreadMonitor::start("peer-call");
    let accepted = submit_at_once(&mut cell, WAITING_CALLS, |cell| {
        let stopped = cell.stop_majority();
        cell.restart(&stopped);
    });
    let max_threads = monitor.finish();
    assert_eq!(accepted, WAITING_CALLS);
    for number in 0..WAITING_CALLS {
        let phase = cell.phase(JobKind::of_job(number), &job_id(number));
        assert_eq!(phase, Reply::Progress(JobPhase::Queued), "job {number}");
    }
    assert!(
        max_threads <= MAX_THREADS_OF_A_KIND,
        "{max_threads} threads handled {WAITING_CALLS} calls of {} hosts",
        HOSTS.0 + HOSTS.1
    );
}

/// Guards against a leader that keeps a thread for each worker: the largest deployments have 350
/// workers, and the target is 1,600.
#[test]
fn workers_share_a_bounded_number_of_threads() {
    let _guard = lock_cell();
    let folder = tempfile::tempdir().unwrap();
    let monitor = threads::ThreadMonitor::start("placer-link");
    let mut cell = ScaledCell::start(folder.path(), 17_360, HOSTS, WORKERS);
    assert_eq!(submit_at_once(&mut cell, 1, |_| {}), 1);
    cell.await_completed(JobKind::of_job(0), &job_id(0));
    let max_threads = monitor.finish();
    assert!(
        max_threads <= MAX_THREADS_OF_A_KIND,
        "{max_threads} threads served {WORKERS} workers"
    );
}

/// Guards against accepted jobs that never run, tasks that run twice and gangs that starve when
/// jobs of all kinds arrive at once on the largest deployment.
#[test]
fn all_jobs_of_a_mixed_burst_complete() {
    let _guard = lock_cell();
    let folder = tempfile::tempdir().unwrap();
    let mut cell = ScaledCell::start(folder.path(), 17_370, HOSTS, WORKERS);
    let jobs = 300;
    assert_eq!(submit_at_once(&mut cell, jobs, |_| {}), jobs);
    let mut tasks = 0;
    for number in 0..jobs {
        let kind = JobKind::of_job(number);
        cell.await_completed(kind, &job_id(number));
        tasks += kind.tasks();
    }
    assert_eq!(cell.fleet.overlaps.load(Ordering::Acquire), 0);
    assert!(cell.fleet.runs.load(Ordering::Acquire) >= tasks);
}
