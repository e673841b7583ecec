//! Tests workers of a queue with a placement policy that restart unseen and are cut off some seconds
//! later, and sound workers whose calls take seconds. The hosts of the cell are processes.

mod platform_support;

use std::ops::Range;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform_support::permit_hosts::{AGE_AT_CRASH, DOWN_TIME, PermitHosts, long_runs};
use platform_support::proxy::{Delays, is_renewal, is_start, is_stop};
use platform_support::run_record::{overlaps, repeats};
use platform_support::runner::RunnerOptions;
use platform_support::{CellSize, Runner, await_some, first_port, seeds};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

/// Two entry hosts, so that the relay of a worker can change.
const TWO_ENTRIES: CellSize = CellSize {
    storage_hosts: 3,
    entry_hosts: 2,
};
/// Attempts of a relay to send a start order.
const ORDER_ATTEMPTS: usize = 3;
/// Delay with which an answer is lost, since nobody waits for it any more.
const LOST: Duration = Duration::from_secs(4);
/// Time between a restart and the cut.
const CUT_AFTER: Duration = Duration::from_secs(2);
/// Delay of a start order that is carried out after the relay has given it up, but well before its
/// permit has expired.
const LATE_START: Duration = Duration::from_millis(1_600);
/// Delay of a renewal that is carried out after the permit of a start order has expired.
const LATE_RENEWAL: Duration = Duration::from_secs(6);
/// Time for which an entry host stands still.
const STOPPED_TIME: Duration = Duration::from_millis(1_500);
/// Time for which no answer of a worker arrives; longer than its lease and the time in which its
/// tasks start elsewhere.
const UNHEARD_TIME: Duration = Duration::from_secs(20);

/// Sends heartbeats of workers for some time, in steps of a second.
fn send_heartbeats(hosts: &PermitHosts, workers: &[(&str, &Arc<Runner>)], time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for (id, worker) in workers {
            hosts.cell.announce(id, worker, worker.next_heartbeat());
        }
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(left.min(Duration::from_secs(1)));
    }
}

fn expect_single_runs(hosts: &mut PermitHosts, workers: &[&Runner]) {
    assert_eq!(overlaps(workers), 0, "two runs of a task at once");
    assert_eq!(repeats(workers), [], "finished work ran again");
    hosts.processes.assert_running();
}

/// Loses the answers of the next processes of a worker to renewals until some time after the cut, so
/// that nothing proves the restart.
fn lose_lists_after_restart(worker: &Arc<Runner>) {
    let restarted = Arc::downgrade(worker);
    worker.proxy().delay(Some(Box::new(move |request| {
        let is_young = restarted.upgrade().is_some_and(|worker| {
            worker.born() > 1 && worker.process_age() < CUT_AFTER + Duration::from_secs(1)
        });
        let is_lost = is_young && is_renewal(request);
        Delays {
            answer: if is_lost { LOST } else { Duration::ZERO },
            ..Delays::default()
        }
    })));
}

/// Lets a process that the cell does not know run a task, claim its identifier by heartbeats that
/// wait for proof, and be cut off. No stop order arrives.
fn cut_off_claimed(port: u16, lost_answers: usize) {
    let mut hosts = PermitHosts::start(port);
    let restarted = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    lose_lists_after_restart(&restarted);
    restarted
        .lose_answers
        .store(lost_answers, Ordering::Release);
    hosts.order_start_on_unknown_process(&restarted, || restarted.is_at_work());
    restarted.proxy().hold(Some(Box::new(is_stop)));
    let left = CUT_AFTER.saturating_sub(restarted.process_age());
    send_heartbeats(&hosts, &[("i-1", &restarted)], left);
    restarted.proxy().set_cut(true);
    hosts.expect_no_second_run(&restarted);
}

/// Guards against two runs of a task at once: the answer to its start order showed another process, the
/// order was repeated without an outcome, and the run ended with the lease of the former process.
#[test]
fn a_task_of_a_claimed_restart_does_not_start_twice() {
    cut_off_claimed(first_port(21_000), 0);
}

/// Guards against the same when no answer to the start order has arrived.
#[test]
fn a_task_of_a_claimed_restart_without_an_answer_does_not_start_twice() {
    cut_off_claimed(first_port(21_005), ORDER_ATTEMPTS);
}

/// Guards against two runs of a task at once: a permitted order that the relay had given up was carried
/// out by the next process of a worker behind a cut.
#[test]
fn a_permitted_start_that_is_carried_out_late_does_not_start_its_task_twice() {
    let mut hosts = PermitHosts::start(first_port(21_010));
    let restarted = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    lose_lists_after_restart(&restarted);
    let is_held = |request: &str| is_start(request) || is_stop(request);
    restarted.proxy().hold(Some(Box::new(is_held)));
    hosts.order_start_on_unknown_process(&restarted, || restarted.proxy().holds_request());
    thread::sleep(LATE_START);
    restarted.proxy().set_cut(true);
    restarted.deliver(&restarted.proxy().take_held()[..1]);
    restarted.await_start();
    hosts.expect_no_second_run(&restarted);
}

/// Guards against two runs of a task at once: a renewal for the former process of a worker was carried
/// out by the next one after the permit had expired, and lengthened the lease of the run.
#[test]
fn a_late_renewal_for_a_former_process_does_not_let_its_task_start_twice() {
    let mut hosts = PermitHosts::start(first_port(21_030));
    let restarted = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    restarted
        .lose_answers
        .store(ORDER_ATTEMPTS, Ordering::Release);
    let extends_lease = |request: &str| is_renewal(request) && request.contains("deadline_ms");
    restarted.proxy().hold(Some(Box::new(extends_lease)));
    await_some(|| restarted.proxy().holds_request().then_some(()));
    restarted.crash_unseen(DOWN_TIME);
    hosts.cell.submit_task("00c0ffee00c0ffee");
    let started_at = restarted.await_start();
    restarted.proxy().set_cut(true);
    let renewed_at = started_at + LATE_RENEWAL;
    thread::sleep(renewed_at.saturating_duration_since(Instant::now()));
    restarted.deliver(&restarted.proxy().take_held()[..1]);
    hosts.expect_no_second_run(&restarted);
}

/// Guards against two runs of a task at once: the relay stood still between the restart of a worker and
/// the cut, so that no report of it showed the restart.
#[test]
fn a_task_of_a_restart_behind_a_slow_relay_does_not_start_twice() {
    let mut hosts = PermitHosts::start(first_port(21_015));
    let restarted = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    restarted
        .lose_answers
        .store(ORDER_ATTEMPTS, Ordering::Release);
    hosts.order_start_on_unknown_process(&restarted, || restarted.is_at_work());
    let entry = *CellSize::SMALL.entries().start();
    hosts.processes.signal(entry, Signal::STOP);
    thread::sleep(STOPPED_TIME / 2);
    restarted.proxy().set_cut(true);
    thread::sleep(STOPPED_TIME / 2);
    hosts.processes.signal(entry, Signal::CONT);
    hosts.expect_no_second_run(&restarted);
}

/// Guards against two runs of a task at once on a sound worker that counts as lost: it carries out all
/// calls, but its answers do not arrive for longer than its lease, and then arrive again.
#[test]
fn a_task_of_a_worker_that_is_not_heard_does_not_run_twice_at_once() {
    let mut hosts = PermitHosts::start_with_size(first_port(21_020), TWO_ENTRIES);
    let unheard = hosts.add("i-1", long_runs());
    thread::sleep(AGE_AT_CRASH);
    unheard
        .lose_answers
        .store(ORDER_ATTEMPTS, Ordering::Release);
    hosts.cell.submit_task("00c0ffee00c0ffee");
    let is_at_work = || unheard.is_at_work().then_some(());
    hosts
        .cell
        .await_with_heartbeats("i-1", &unheard, is_at_work);
    unheard.proxy().delay(Some(Box::new(|_| Delays {
        answer: LOST,
        ..Delays::default()
    })));
    let other = hosts.add("i-2", long_runs());
    let workers = [("i-1", &unheard), ("i-2", &other)];
    send_heartbeats(&hosts, &workers, UNHEARD_TIME);
    unheard.proxy().delay(None);
    send_heartbeats(&hosts, &workers, Duration::from_secs(6));
    assert!(other.is_at_work(), "the task was not started again");
    expect_single_runs(&mut hosts, &[&unheard, &other]);
}

/// Delays of the calls to a worker, at random. Those for which the sender no longer waits are carried
/// out without an answer.
fn delay_at_random(worker: &Runner, seed: u64) {
    let random = Mutex::new(StdRng::seed_from_u64(seed));
    worker.proxy().delay(Some(Box::new(move |text| {
        let mut random = random.lock().unwrap();
        let lot = random.random_range(0..100);
        let mut ms = |range: Range<u64>| Duration::from_millis(random.random_range(range));
        let now = Duration::ZERO;
        let (request, answer) = match lot {
            _ if is_start(text) => match lot {
                0..15 => (ms(300..2_500), LOST),
                15..25 => (ms(2_000..12_000), LOST),
                25..50 => (now, LOST),
                50..70 => (now, ms(0..440)),
                _ => (now, now),
            },
            _ if is_renewal(text) => match lot {
                0..8 => (ms(500..12_000), LOST),
                8..20 => (now, LOST),
                20..60 => (now, ms(300..1_500)),
                _ => (now, now),
            },
            0..20 => (ms(500..12_000), LOST),
            20..40 => (now, LOST),
            40..70 => (now, ms(0..440)),
            _ => (now, now),
        };
        Delays { request, answer }
    })));
}

/// Lets tasks of 1 to 20 s run on sound workers with random delays, while hosts stand still or are
/// killed.
fn run_with_random_delays(port: u16, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts = PermitHosts::start_with_size(port, TWO_ENTRIES);
    let ids = ["i-1", "i-2", "i-3"];
    let mut runners = Vec::new();
    for id in ids {
        let options = RunnerOptions {
            run_time: Duration::from_millis(random.random_range(1_000..20_000)),
            ..long_runs()
        };
        runners.push(hosts.add(id, options));
    }
    let workers: Vec<(&str, &Arc<Runner>)> = ids.into_iter().zip(&runners).collect();
    thread::sleep(AGE_AT_CRASH);
    for (position, runner) in runners.iter().enumerate() {
        delay_at_random(runner, seed * 10 + position as u64);
    }
    for step in 0..12 {
        for number in 0..2 {
            let job = format!("00c0ffee{step:04x}{number:04x}");
            hosts.cell.submit_task(&job);
        }
        let leader = hosts.processes.leader().map(|(_, leader)| leader);
        let lot = random.random_range(0..6);
        let stopped = [Some(4), Some(5), leader].get(lot).copied().flatten();
        if let Some(host) = stopped {
            hosts.processes.signal(host, Signal::STOP);
            thread::sleep(Duration::from_millis(random.random_range(300..2_500)));
            hosts.processes.signal(host, Signal::CONT);
        } else if let Some(leader) = leader.filter(|_| lot == 3) {
            hosts.processes.kill(leader);
            hosts.processes.start_host(leader);
        }
        send_heartbeats(&hosts, &workers, Duration::from_secs(2));
    }
    send_heartbeats(&hosts, &workers, Duration::from_secs(12));
    let runners: Vec<&Runner> = runners.iter().map(Arc::as_ref).collect();
    expect_single_runs(&mut hosts, &runners);
}

/// Guards against two runs of a task at once, and against finished work that runs again, on sound
/// workers whose calls are carried out seconds late and whose answers are lost, late or overtaken.
#[test]
fn tasks_of_sound_workers_with_slow_calls_run_once() {
    for seed in seeds(1) {
        run_with_random_delays(first_port(21_025), seed);
    }
}
