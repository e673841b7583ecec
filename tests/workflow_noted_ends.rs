//! Tests tasks that end as done on a worker that is silent, answers late or has restarted unseen, and
//! whose ends are acknowledged: such a task must not start again. The hosts of the cell are processes.

mod platform_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform_support::permit_hosts::{AGE_AT_CRASH, DOWN_TIME, ORDER_TIME, PermitHosts, long_runs};
use platform_support::proxy::{Fate, is_renewal, is_start, is_stop};
use platform_support::run_record::{overlaps, repeats};
use platform_support::runner::RunnerOptions;
use platform_support::{CellSize, Runner, await_some};
use rustix::process::Signal;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a start order that is carried out late, but before its permit has expired.
const LATE_START: Duration = Duration::from_millis(1_800);
/// Time after which a worker is back that ran a task while it was cut off: the lease that the cell
/// granted to its former process has expired, and the longest lease of 10 s has not.
const BACK_AFTER: Duration = Duration::from_millis(8_800);
/// The same where a late order began the run, and the next placer waits for the longest lease.
const BACK_AFTER_LATE_START: Duration = Duration::from_millis(11_300);
/// Time for which the order of the next run is held: its permit has not expired.
const HELD_ORDER_TIME: Duration = Duration::from_millis(2_000);
/// Time for which calls to a healthy worker are followed: all late ones have arrived.
const HEALTHY_TIME: Duration = Duration::from_secs(13);
/// Run time of tasks that end while their worker is cut off.
const UNSEEN_RUN: Duration = Duration::from_secs(2);
/// Run time of tasks on a healthy worker: they end before their orders are given up.
const SHORT_RUN: Duration = Duration::from_millis(300);
/// Attempts of a relay to send a start order.
const ORDER_ATTEMPTS: usize = 3;

struct Hosts {
    permit: PermitHosts,
    workers: Vec<(String, Arc<Runner>)>,
    heartbeat_at: Instant,
}

impl Hosts {
    fn start(first_port: u16, size: CellSize) -> Self {
        Self {
            permit: PermitHosts::start_with_size(first_port, size),
            workers: Vec::new(),
            heartbeat_at: Instant::now(),
        }
    }

    fn add(&mut self, id: &str, run_time: Duration) -> Arc<Runner> {
        let options = RunnerOptions {
            run_time,
            ..long_runs()
        };
        let runner = self.permit.add(id, options);
        self.workers.push((id.to_owned(), Arc::clone(&runner)));
        runner
    }

    /// Sends the heartbeats that are due, except those of a silent worker.
    fn send_heartbeats(&mut self, silent: Option<&str>) {
        if Instant::now() < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
        for (id, runner) in &self.workers {
            if Some(id.as_str()) != silent {
                self.permit
                    .cell
                    .announce(id, runner, runner.next_heartbeat());
            }
        }
    }

    /// Waits until a time or an event.
    fn wait(&mut self, silent: Option<&str>, until: Instant, is_over: impl Fn() -> bool) {
        while Instant::now() < until && !is_over() {
            self.send_heartbeats(silent);
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until a job is completed and all ends are acknowledged, and checks that no task started
    /// while it was at work or after it was done.
    fn expect_no_second_run(&mut self, job: &str) {
        await_some(|| {
            self.send_heartbeats(None);
            let is_noted = self.workers.iter().all(|(_, it)| it.listed_ends() == 0);
            (is_noted && self.permit.cell.state(job).as_deref() == Some("completed")).then_some(())
        });
        let runners: Vec<&Runner> = self.workers.iter().map(|(_, it)| it.as_ref()).collect();
        assert_eq!(repeats(&runners), [], "finished work ran again");
        assert_eq!(overlaps(&runners), 0, "two runs of a task at once");
        self.permit.processes.assert_running();
    }
}

/// A run of a process that the cell does not know, which ends while the process is cut off.
#[derive(Clone, Copy, Default)]
struct UnseenRun {
    /// Answers to the start order that are lost.
    lost_answers: usize,
    /// Whether the start order is carried out late.
    is_late: bool,
    /// Whether a heartbeat of the process arrives while it is cut off.
    is_announced: bool,
    /// Whether the leader is killed during the cut.
    kills_leader: bool,
    /// Whether the order of a next run is held until the end has been acknowledged.
    holds_next: bool,
}

/// Lets a process that the cell does not know run a task to its end while it is cut off, and brings it
/// back before its longest lease has expired, as soon as the task starts elsewhere.
fn end_unseen(first_port: u16, case: UnseenRun) {
    let mut hosts = Hosts::start(first_port, CellSize::SMALL);
    let restarted = hosts.add("i-1", UNSEEN_RUN);
    thread::sleep(AGE_AT_CRASH);
    let proxy = restarted.proxy();
    let lost = case.lost_answers;
    restarted.lose_answers.store(lost, Ordering::Release);
    let job = if case.is_late {
        proxy.hold(Some(Box::new(is_start)));
        hosts
            .permit
            .order_start_on_unknown_process(&restarted, || proxy.holds_request())
    } else {
        hosts
            .permit
            .order_start_on_unknown_process(&restarted, || restarted.is_at_work())
    };
    let ordered_at = Instant::now();
    proxy.set_cut(true);
    let other = hosts.add("i-2", UNSEEN_RUN);
    if case.holds_next {
        let is_held = |request: &str| is_start(request) || is_stop(request);
        other.proxy().hold(Some(Box::new(is_held)));
    }
    if case.is_announced {
        let sequence = restarted.next_heartbeat();
        hosts.permit.cell.announce("i-1", &restarted, sequence);
    }
    if case.kills_leader {
        let (_, leader) = hosts.permit.processes.leader().unwrap();
        hosts.permit.processes.kill(leader);
        hosts.permit.processes.start_host(leader);
    }
    if case.is_late {
        // Without heartbeats, which would wait for the next placer while the permit expires.
        thread::sleep((ordered_at + LATE_START).saturating_duration_since(Instant::now()));
        restarted.deliver(&proxy.take_held()[..1]);
        proxy.hold(None);
    }

    let back_after = if case.is_late && case.kills_leader {
        BACK_AFTER_LATE_START
    } else {
        BACK_AFTER
    };
    let is_next_ordered = || other.is_at_work() || other.proxy().holds_request();
    hosts.wait(Some("i-1"), ordered_at + back_after, is_next_ordered);
    assert_eq!(restarted.listed_ends(), 1, "the task has ended unseen");
    let back_at = Instant::now();
    proxy.set_cut(false);
    let sequence = restarted.next_heartbeat();
    hosts.permit.cell.announce("i-1", &restarted, sequence);
    if case.holds_next {
        hosts.wait(None, back_at + HELD_ORDER_TIME, || false);
        other.proxy().hold(None);
        let held = other.proxy().take_held();
        let order = held
            .iter()
            .find(|request| is_start(&String::from_utf8_lossy(request)));
        order
            .iter()
            .for_each(|order| other.deliver(&[order.to_vec()]));
    }
    hosts.expect_no_second_run(&job);
}

/// Guards against finished work that runs again: a process that the cell does not know ran a task with
/// a permit to its end behind a cut, the task started elsewhere, and the end was acknowledged.
#[test]
fn a_task_that_ended_unseen_does_not_run_again() {
    end_unseen(22_000, UnseenRun::default());
}

/// Guards against the same when no answer has shown that the worker restarted.
#[test]
fn a_task_without_an_answer_that_ended_unseen_does_not_run_again() {
    let case = UnseenRun {
        lost_answers: ORDER_ATTEMPTS,
        ..UnseenRun::default()
    };
    end_unseen(22_005, case);
}

/// Guards against the same after a change of the placer: the order of the former one was carried out
/// late, while its permit was valid.
#[test]
fn a_task_that_began_late_and_ended_unseen_is_not_repeated_by_the_next_placer() {
    let case = UnseenRun {
        is_late: true,
        kills_leader: true,
        ..UnseenRun::default()
    };
    end_unseen(22_010, case);
}

/// Guards against the same when the order of the next run is on its way while the end is acknowledged
/// as one of a run that is not the latest.
#[test]
fn an_end_that_is_acknowledged_is_not_followed_by_a_held_order() {
    let case = UnseenRun {
        is_late: true,
        is_announced: true,
        holds_next: true,
        ..UnseenRun::default()
    };
    end_unseen(22_015, case);
}

/// Runs a short task on a healthy worker, with fates of its calls by the time since the submission,
/// and adds another worker once the first start order was sent.
fn run_on_healthy(
    first_port: u16,
    mut fates: impl FnMut(&str, Duration) -> Fate + Send + 'static,
    disturb: impl FnOnce(&mut Hosts, &Arc<Runner>),
) {
    let size = CellSize {
        entry_hosts: 2,
        ..CellSize::SMALL
    };
    let mut hosts = Hosts::start(first_port, size);
    let healthy = hosts.add("i-1", SHORT_RUN);
    thread::sleep(AGE_AT_CRASH);
    let is_ordered = Arc::new(AtomicBool::new(false));
    let ordered = Arc::clone(&is_ordered);
    let submitted_at = Instant::now();
    healthy.proxy().set_fates(Some(Box::new(move |request| {
        ordered.fetch_or(is_start(request), Ordering::AcqRel);
        fates(request, submitted_at.elapsed())
    })));
    let job = "00c0ffee00000001";
    hosts.permit.cell.submit_task(job);
    await_some(|| {
        hosts.send_heartbeats(None);
        is_ordered.load(Ordering::Acquire).then_some(())
    });
    hosts.add("i-2", SHORT_RUN);
    disturb(&mut hosts, &healthy);
    hosts.wait(None, submitted_at + HEALTHY_TIME, || false);
    healthy.proxy().set_fates(None);
    hosts.expect_no_second_run(job);
}

/// Guards against finished work that runs again: the answers to the start order of a healthy worker are
/// lost, its lists arrive late and its stop orders are carried out late.
#[test]
fn late_lists_of_a_healthy_worker_repeat_no_task() {
    let fates = |request: &str, since: Duration| match request {
        _ if since > Duration::from_secs(8) => Fate::Forwarded,
        it if is_start(it) => Fate::AnswerLost,
        it if is_renewal(it) => Fate::AnswerDelayed(Duration::from_millis(1_400)),
        _ => Fate::Delayed(Duration::from_secs(2)),
    };
    run_on_healthy(22_020, fates, |_, _| ());
}

/// Guards against finished work that runs again: a placer pauses after a worker has listed an end and
/// before it has recorded it, and continues beside the next placer.
#[test]
fn a_placer_that_pauses_before_it_records_an_end_repeats_no_task() {
    let fates = |request: &str, since: Duration| {
        if is_start(request) && since < Duration::from_secs(3) {
            Fate::AnswerLost
        } else {
            Fate::Forwarded
        }
    };
    run_on_healthy(22_025, fates, |hosts, worker| {
        let (_, leader) = hosts.permit.processes.leader().unwrap();
        await_listed(worker);
        hosts.permit.processes.signal(leader, Signal::STOP);
        thread::sleep(Duration::from_secs(4));
        hosts.permit.processes.signal(leader, Signal::CONT);
    });
}

/// Guards against finished work that runs again: a copy of a start order arrives at the next process
/// after the run has ended and its end was acknowledged, while the permit has not expired.
#[test]
fn a_late_copy_of_a_start_order_on_the_next_process_repeats_no_task() {
    let mut copies = 0;
    let fates = move |request: &str, _: Duration| {
        copies += usize::from(is_start(request));
        match copies {
            _ if !is_start(request) => Fate::Forwarded,
            1 => Fate::AnswerLost,
            _ => Fate::Delayed(Duration::from_millis(1_600)),
        }
    };
    run_on_healthy(22_030, fates, |_, worker| {
        await_listed(worker);
        await_some(|| (worker.listed_ends() == 0).then_some(()));
        worker.crash();
        thread::sleep(DOWN_TIME);
        worker.restart(&[]);
    });
}

/// Waits until a worker has an end that is not acknowledged, or a time in which it cannot be missed.
fn await_listed(worker: &Runner) {
    let until = Instant::now() + ORDER_TIME;
    while worker.listed_ends() == 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
}
