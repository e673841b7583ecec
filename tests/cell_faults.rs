//! Runs a cell of real processes whose disks refuse writes and which are stopped, paused and
//! killed, while callers and an operator go on and workers start again.

mod platform_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use indexmap::IndexSet;
use platform_support::processes::HostProcesses;
use platform_support::recorded::{
    TestCell, body_text, lacks_configuration, path, send_requests, short_job,
};
use platform_support::{CellSize, Runner, WAIT_TIMEOUT, configuration, first_port, seeds};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::Value;

/// Workers of the cell with seeded faults.
const WORKERS: usize = 2;
/// Average number of rounds between two restarts of workers.
const RESTART_ROUNDS: usize = 6;
/// Average number of rounds with work between two clients that cancel without an answer.
const LATE_CLIENT_ROUNDS: u32 = 3;
/// Rounds after which the key of the customer is revoked and its cap is lowered or raised.
const CHANGE_ROUNDS: usize = 10;
/// Long enough for a second run of a task to begin while the first is at work.
const RUN_TIME: Duration = Duration::from_millis(1_500);
/// Storage hosts of a small cell; they are numbered from 1.
const STORAGE_HOSTS: usize = CellSize::SMALL.storage_hosts;
/// A cell that survives the loss of two disks.
const LARGE: CellSize = CellSize {
    storage_hosts: 6,
    entry_hosts: 2,
};
/// Seed that takes the leader's disk in each round: with requests in flight, while it goes on for a
/// moment, and while others are behind.
const LARGE_CELL_SEED: u64 = 45;
/// Time for which a minority must not serve: several election timeouts.
const REFUSAL_TIME: Duration = Duration::from_secs(3);
/// Time between two parts of a power loss. A leader without a majority leads for 420 ms at most.
const STAGGER_TIME: Duration = Duration::from_millis(200);
/// Callers at the moment of a power loss.
const BUSY_CALLERS: usize = 4;
/// Jobs that they have had acknowledged before it.
const BUSY_JOBS: usize = 32;
/// Delay after which all lines that were logged before have arrived; hosts write them every 50 ms.
const LOG_DELAY: Duration = Duration::from_millis(300);

/// Guards against a cell that ends for good once the disks of a majority of its storage hosts have
/// refused writes for a while, one after the other.
#[test]
fn a_cell_survives_disks_that_refuse_writes_in_turn() {
    let mut test = TestCell::start(17_410, CellSize::SMALL);
    for round in 0..2 * STORAGE_HOSTS {
        let host = round % STORAGE_HOSTS + 1;
        test.processes.set_disk_full(host, true);
        test.work_for(Duration::from_millis(1_500));
        test.processes.set_disk_full(host, false);
        test.work_for(Duration::from_millis(1_500));
    }
    test.check();
}

/// Order in which hosts start after a power loss.
#[derive(Clone, Copy, Debug)]
enum StartOrder {
    Together,
    /// Hosts with empty disks and a minority with full ones start before the others.
    EmptyFirst,
    /// Hosts with empty disks start once the others serve.
    EmptyLast,
}

/// What happens while hosts lose power.
#[derive(Clone, Copy, Debug)]
enum LossMoment {
    /// No request is in flight.
    Idle,
    /// Callers and operators send requests.
    Busy,
    /// As `Busy`, while as many storage hosts as lose their disks are behind with the log. The latest
    /// entries may be on a single full disk.
    Lagging,
    /// As `Busy`, but the hosts that lose their disks go on for a moment without the others. What they
    /// acknowledge by themselves is lost.
    Staggered,
}

/// Loss of disks at the moment in which all hosts lose power.
#[derive(Debug)]
struct PowerLoss {
    /// Storage hosts that start again with an empty disk.
    empty: Vec<usize>,
    moment: LossMoment,
    order: StartOrder,
}

impl PowerLoss {
    /// Draws the same numbers whichever host leads, so that a seed stands for one loss.
    fn random(rng: &mut StdRng, order: StartOrder, leader: usize, size: CellSize) -> Self {
        let moments = [
            LossMoment::Idle,
            LossMoment::Busy,
            LossMoment::Lagging,
            LossMoment::Staggered,
        ];
        let moment = moments[rng.random_range(0..moments.len())];
        let with_leader = rng.random_bool(0.5);
        let mut empty: Vec<usize> = (1..=size.storage_hosts).collect();
        empty.shuffle(rng);
        if with_leader {
            empty.retain(|host| *host != leader);
            empty.insert(0, leader);
        }
        empty.truncate(size.tolerated_losses());
        Self {
            empty,
            moment,
            order,
        }
    }
}

impl TestCell {
    /// Takes power and disks from the hosts, starts them again, and checks that nothing that was
    /// acknowledged is missing or shown older, and that the cell serves.
    fn lose_power(&mut self, loss: &PowerLoss) {
        self.work_for(Duration::from_millis(500));
        self.cancel();
        let mut others = self.storage_hosts();
        others.retain(|host| !loss.empty.contains(host));
        match loss.moment {
            LossMoment::Idle => self.processes.kill_all(),
            _ => self.kill_all_while_busy(loss, &others),
        }
        for host in &loss.empty {
            self.processes.empty_disk(*host);
        }
        let entries = self.cell.size.entries();
        match loss.order {
            StartOrder::Together => {
                (1..=self.cell.size.hosts()).for_each(|host| self.processes.start_host(host));
            }
            StartOrder::EmptyFirst => {
                let later = others.split_off(self.cell.size.tolerated_losses());
                let first: Vec<usize> = loss.empty.iter().chain(&others).copied().collect();
                let started = first.iter().copied().chain(entries);
                started.for_each(|host| self.processes.start_host(host));
                self.check_refusals(&first);
                later
                    .iter()
                    .for_each(|host| self.processes.start_host(*host));
            }
            StartOrder::EmptyLast => {
                let started = others.iter().copied().chain(entries);
                started.for_each(|host| self.processes.start_host(host));
                self.check_work(&others);
                self.work();
                self.check_work(&others);
                loss.empty
                    .iter()
                    .for_each(|host| self.processes.start_host(*host));
            }
        }
        self.check();
        self.work();
        self.check();
    }

    /// Kills all hosts while several callers send requests; `others` are the storage hosts that keep
    /// their disks.
    fn kill_all_while_busy(&mut self, loss: &PowerLoss, others: &[usize]) {
        let leader = self.processes.leader().map(|(_, host)| host);
        let followers = others.iter().filter(|host| Some(**host) != leader);
        let behind: Vec<usize> = match loss.moment {
            LossMoment::Lagging => followers.take(loss.empty.len()).copied().collect(),
            _ => Vec::new(),
        };
        let mut asked = self.storage_hosts();
        asked.retain(|host| !behind.contains(host));
        for host in &behind {
            self.processes.signal(*host, Signal::STOP);
        }
        let (cell, record, stopped) = (&self.cell, &self.record, &AtomicBool::new(false));
        let (wanted, asked) = (record.lock().unwrap().jobs.len() + BUSY_JOBS, &asked);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        thread::scope(|scope| {
            for caller in 0..BUSY_CALLERS {
                let entry = cell.size.entries().start() + caller % cell.size.entry_hosts;
                scope.spawn(move || send_requests(cell, record, entry, asked, stopped));
            }
            // A panic here would wait for the callers, which nobody stops.
            while record.lock().unwrap().jobs.len() < wanted && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(10));
            }
            if let LossMoment::Staggered = loss.moment {
                for host in others {
                    self.processes.signal(*host, Signal::KILL);
                }
                thread::sleep(STAGGER_TIME);
            }
            self.processes.kill_all();
            stopped.store(true, Ordering::Release);
        });
        let jobs = record.lock().unwrap().jobs.len();
        assert!(jobs >= wanted, "{jobs} of {wanted} jobs were accepted");
    }

    /// Checks that a minority of the hosts with full disks, with the hosts that have empty ones,
    /// refuses all requests for a while.
    fn check_refusals(&self, storage_hosts: &[usize]) {
        let mut record = self.record.lock().unwrap();
        let (document, new) = (configuration(record.next_version()), record.next_job());
        let known = &record.jobs[0].name;
        let (control, callers) = (self.cell.ports.control, self.cell.ports.callers);
        let mut requests = Vec::new();
        for host in storage_hosts {
            let url = format!("http://127.0.0.{host}:{control}/api/config");
            requests.push((Method::GET, url.clone(), Value::Null));
            requests.push((Method::PUT, url, document.clone()));
        }
        for entry in self.cell.size.entries() {
            let url = format!("http://127.0.0.{entry}:{callers}");
            requests.push((Method::GET, url.clone() + &path(known), Value::Null));
            requests.push((Method::POST, url + &path(&new), short_job()));
        }
        let until = Instant::now() + REFUSAL_TIME;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let await_refusals = |method: &Method, url: &str, body: &Value| {
            let mut refused = false;
            while Instant::now() < until || !refused {
                assert!(Instant::now() < deadline, "{method} {url}: no answer");
                if let Some(answer) = self.cell.send(method.clone(), url, body) {
                    refused = answer.status >= 500 && !lacks_configuration(&answer);
                    let (status, body) = (answer.status, body_text(&answer));
                    assert!(refused, "{method} {url}: {status} {body}");
                }
                thread::sleep(Duration::from_millis(50));
            }
        };
        let await_refusals = &await_refusals;
        thread::scope(|scope| {
            for (method, url, body) in &requests {
                scope.spawn(move || await_refusals(method, url, body));
            }
        });
    }

    /// Waits until the cell tolerates the loss of disks again: enough members vote, no former voter
    /// is still to be re-admitted, and hosts that have lost a disk take part as new incarnations.
    /// Returns the leader.
    fn await_members(&mut self) -> usize {
        let size = self.cell.size;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let seen = (self.processes.leader(), self.processes.members());
            assert!(Instant::now() < deadline, "members are missing: {seen:?}");
            // The change may not be committed. A later one of the same leader shows that it is.
            self.work();
            thread::sleep(LOG_DELAY);
            let (Some((_, leader)), members) = &seen else {
                continue;
            };
            if seen != (self.processes.leader(), self.processes.members()) {
                continue;
            }
            let voters = members.iter().filter(|member| member.role == "Voter");
            let present = members.iter().filter(|member| {
                member.role != "Returning"
                    && !self.emptied.contains(&(member.host, member.incarnation))
            });
            if voters.count() > 2 * size.tolerated_losses() && present.count() == size.storage_hosts
            {
                return *leader;
            }
        }
    }
}

/// Guards against acknowledged work or changes that are missing, or shown older, after one storage host
/// has lost its disk at the moment in which all hosts lose power.
#[test]
fn acknowledged_work_survives_a_lost_disk_and_a_power_loss_of_all_hosts() {
    let mut test = TestCell::start(17_430, CellSize::SMALL);
    for empty in 1..=STORAGE_HOSTS {
        test.lose_power(&PowerLoss {
            empty: vec![empty],
            moment: LossMoment::Idle,
            order: StartOrder::Together,
        });
    }
}

/// Guards against the same after two of six storage hosts have lost their disks, and against hosts with
/// empty disks that count before they are re-admitted. Without the variable, runs one seed.
#[test]
fn acknowledged_work_survives_two_lost_disks_of_six_and_a_power_loss_of_all_hosts() {
    for seed in seeds(LARGE_CELL_SEED) {
        let mut test = TestCell::start(17_440, LARGE);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut leader = test.await_members();
        let mut orders = [
            StartOrder::Together,
            StartOrder::EmptyFirst,
            StartOrder::EmptyLast,
        ];
        orders.shuffle(&mut rng);
        for order in orders {
            let loss = PowerLoss::random(&mut rng, order, leader, LARGE);
            println!("seed {seed}, leader {leader}: {loss:?}");
            for member in test.processes.members() {
                if loss.empty.contains(&member.host) {
                    test.emptied.push((member.host, member.incarnation));
                }
            }
            test.lose_power(&loss);
            leader = test.await_members();
        }
    }
}

/// A fault of one storage host that ends by itself.
#[derive(Clone, Copy, Debug)]
enum Fault {
    DiskFull,
    Pause,
    Kill,
    Stop,
}

fn begin(processes: &mut HostProcesses, host: usize, fault: Fault) {
    match fault {
        Fault::DiskFull => processes.set_disk_full(host, true),
        Fault::Pause => processes.signal(host, Signal::STOP),
        Fault::Kill => processes.kill(host),
        Fault::Stop => processes.signal(host, Signal::TERM),
    }
}

fn end(processes: &mut HostProcesses, host: usize, fault: Fault) {
    match fault {
        Fault::DiskFull => processes.set_disk_full(host, false),
        Fault::Pause => processes.signal(host, Signal::CONT),
        Fault::Kill => processes.start_host(host),
        Fault::Stop => {
            processes.kill(host);
            processes.start_host(host);
        }
    }
}

/// Crashes a worker whose requests are held and starts it again. Each held request is lost, carried
/// out by the next process before its other calls, or returned.
///
/// A task that was in a crash before is not crashed again: the cell would be right to give it up.
fn restart_worker(
    worker: &Arc<Runner>,
    crashed: &mut IndexSet<String>,
    mut rng: StdRng,
) -> Vec<Vec<u8>> {
    let in_flight = Duration::from_millis(rng.random_range(300..1_200));
    let pause = Duration::from_millis(rng.random_range(0..300));
    thread::sleep(in_flight);
    let mut held = worker.proxy().take_held();
    let present = worker.present_tasks(&held);
    if !present.is_disjoint(crashed) {
        worker.proxy().hold(None);
        held.extend(worker.proxy().take_held());
        return held;
    }
    crashed.extend(present);
    worker.crash();
    worker.proxy().hold(None);
    held.extend(worker.proxy().take_held());
    thread::sleep(pause);
    let (mut first, mut late) = (Vec::new(), Vec::new());
    for request in held {
        match rng.random_range(0..3) {
            0 => first.push(request),
            1 => late.push(request),
            _ => {}
        }
    }
    worker.restart(&first);
    late
}

/// Begins and ends faults of one or two storage hosts at a time, which overlap at random, and lets
/// workers crash and start again.
fn run_faults(test: &mut TestCell, seed: u64, rounds: usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    // Restarts of workers and late clients do not change the faults of the storage hosts under a seed.
    let mut restarts = StdRng::seed_from_u64(!seed);
    let mut late_clients = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut crashed = IndexSet::new();
    // Requests that the next process of a worker carries out after other calls.
    let mut late: Option<(Vec<Vec<u8>>, Arc<Runner>)> = None;
    let mut present: Vec<(usize, Fault, Instant)> = Vec::new();
    for round in 1..=rounds {
        if let Some(customer) = test
            .customer
            .as_mut()
            .filter(|_| round % CHANGE_ROUNDS == 0)
        {
            customer.change();
        }
        let position = restarts.random_range(0..RESTART_ROUNDS * WORKERS);
        let restart = StdRng::seed_from_u64(restarts.random());
        let worker = test.workers.get(position).cloned();
        if let Some(worker) = &worker {
            worker.proxy().hold(Some(Box::new(|_| true)));
        }
        let host = rng.random_range(1..=STORAGE_HOSTS);
        let fault = match rng.random_range(0..6) {
            0..3 => Fault::DiskFull,
            3 => Fault::Pause,
            4 => Fault::Kill,
            _ => Fault::Stop,
        };
        let until = Instant::now() + Duration::from_millis(rng.random_range(200..3_000));
        if present.len() < 2 && present.iter().all(|(other, ..)| *other != host) {
            begin(&mut test.processes, host, fault);
            present.push((host, fault, until));
        }
        if present.len() < 2 {
            test.work();
            // The shorter waits are over when the host goes on after a long pause.
            let wait_ms = [1_000, 20_000][late_clients.random_range(0..2)];
            let still_time = Duration::from_millis(late_clients.random_range(100..2_500));
            if late_clients.random_ratio(1, LATE_CLIENT_ROUNDS) {
                test.cancel_without_answer(Duration::from_millis(wait_ms), still_time);
            }
        }
        if let Some((requests, worker)) = late.take() {
            worker.deliver(&requests);
        }
        if let Some(worker) = worker {
            late = Some((restart_worker(&worker, &mut crashed, restart), worker));
            if present.len() < 2 {
                test.announce();
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(50..500)));
        let now = Instant::now();
        let over = present.extract_if(.., |(_, _, until)| *until <= now);
        for (host, fault, _) in over {
            end(&mut test.processes, host, fault);
        }
    }
    for (host, fault, _) in present {
        end(&mut test.processes, host, fault);
    }
}

/// Guards against lost or repeated work and lost changes after faults that come in series and
/// overlap, against a revoked key that is accepted, against a customer above its cap, and against jobs
/// that run after their cancellation. Without the variable, runs one seed.
#[test]
fn accepted_work_survives_seeded_faults() {
    for seed in seeds(1) {
        println!("seed {seed}");
        let mut test = TestCell::start_with_workers(first_port(17_420), WORKERS, RUN_TIME);
        run_faults(&mut test, seed, 40);
        test.work();
        test.check();
    }
}
