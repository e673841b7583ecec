//! The scripted cases. Each returns what broke the rule, or `None` if it held.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cell::{Cell, HOST_NAME};
use crate::json::Json;
use crate::record::{Record, RunRecord};
use crate::runner::{CPU, Runner};

const ZONES: [&str; 3] = ["erdenet", "sukhbaatar", "chinggis"];
/// Bounds of the small deployment, as the pages give them for `tuul-orders`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(3_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job must have nothing running, and time after the last run of a task that lasts
/// from which on that counts.
const NOTHING_RUNS: Duration = Duration::from_secs(3);
const AFTER_LAST_RUN: Duration = Duration::from_secs(6);

/// What a case is played with.
pub struct Play<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub record: &'a Arc<Record>,
    pub trouble: bool,
}

type Verdict = Result<Option<String>, String>;

pub fn play(case: &str, play: &Play<'_>) -> Verdict {
    match case {
        "moved-queue" => moved_queue(play),
        "late-submission" => late_submission(play),
        "earlier-born" => earlier_born(play),
        "crash-loop" => crash_loop(play),
        "hoarding-gang" => hoarding_gang(play),
        _ => Err(format!("there is no case {case}")),
    }
}

impl Play<'_> {
    fn runners(&self, cell: &Cell, name: &str, service: &str, count: usize) -> Vec<Arc<Runner>> {
        let start = |number: usize| {
            let id = format!("{name}-{number}");
            Runner::start(
                &id,
                service,
                ZONES[number % ZONES.len()],
                &cell.control(),
                self.record,
            )
        };
        (1..=count).map(start).collect()
    }
}

fn route(name: &str, prefix: &str, service: &str, priority: u64) -> Json {
    Json::object([
        ("name", Json::text(name)),
        ("host", Json::text(HOST_NAME)),
        ("path_prefix", Json::text(prefix)),
        ("route_type", Json::text("unsafe")),
        ("timeout_ms", Json::number(3_000)),
        ("target_latency_ms", Json::number(1_200)),
        ("priority", Json::number(priority)),
        ("service", Json::text(service)),
        ("max_attempts", Json::number(3)),
        ("slack_factor", Json::Number(2.2)),
    ])
}

fn configuration(version: u64, routes: Vec<Json>, services: &[&str]) -> Json {
    let service = |name: &&str| {
        Json::object([
            ("name", Json::text(name)),
            ("health_path", Json::text("/health")),
            ("max_conns", Json::number(64)),
            ("protocol", Json::text("h1")),
            ("tls", Json::Bool(false)),
            ("enforce_capacity", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ])
    };
    Json::object([
        ("version", Json::number(version)),
        ("routes", Json::List(routes)),
        (
            "services",
            Json::List(services.iter().map(service).collect()),
        ),
        (
            "limits",
            Json::object([
                ("max_header_bytes", Json::number(16_384)),
                ("max_body_bytes", Json::number(262_144)),
                ("header_timeout_ms", Json::number(3_000)),
                ("idle_timeout_ms", Json::number(15_000)),
            ]),
        ),
    ])
}

fn step(count: u64, cpu: u64, estimate_ms: u64, more: &[(&str, Json)]) -> Json {
    let mut fields = vec![
        ("count".to_owned(), Json::number(count)),
        ("cpu".to_owned(), Json::number(cpu)),
        ("mem_mb".to_owned(), Json::number(500)),
        ("estimate_ms".to_owned(), Json::number(estimate_ms)),
    ];
    fields.extend(
        more.iter()
            .map(|(name, value)| ((*name).to_owned(), value.clone())),
    );
    Json::Object(fields)
}

fn job(spec: &str, steps: Vec<Json>) -> Json {
    Json::object([
        ("task_spec", Json::text(spec)),
        ("steps", Json::List(steps)),
    ])
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whether any of the runs was at work at some time since then.
fn any_at_work(runs: &[RunRecord], since: Instant) -> bool {
    runs.iter()
        .any(|run| run.ended.as_ref().is_none_or(|(at, _)| *at >= since))
}

/// A queue is moved to the runners of another service, and the runners of the former one leave, one
/// after the other. A job that was accepted before has a step whose turn comes after that.
fn moved_queue(play: &Play<'_>) -> Verdict {
    let cell = Cell::start(play.program, play.folder, play.record)?;
    cell.await_ready()?;
    let old = play.runners(&cell, "old", "desk-a", 8);
    let new = play.runners(&cell, "new", "desk-b", 8);
    let services = ["desk-a", "desk-b"];
    cell.configure(&configuration(
        1,
        vec![route("orders", "/orders/", "desk-a", 1)],
        &services,
    ))?;
    thread::sleep(Duration::from_millis(3_000));

    let begin = Instant::now();
    play.record.line("traffic begins");
    let at = |seconds: f64| begin + Duration::from_secs_f64(seconds);
    let after_first = [("depends_on", Json::List(vec![Json::number(0)]))];
    let steps = vec![
        step(1, 1_000, 36_000, &[]),
        step(2, 1_000, 1_000, &after_first),
    ];
    let id = "5c0e7a21d94b36f8";
    let path = format!("/orders/{id}");
    cell.submit(&path, &job("work 36000;work 1000", steps))?;
    thread::scope(|scope| -> Result<(), String> {
        let traffic = scope.spawn(|| -> Result<(), String> {
            for number in 0..40_u64 {
                wait_until(at(0.5 + number as f64));
                let path = format!("/orders/00000000000000{number:02x}");
                cell.submit(&path, &job("work 400", vec![step(2, 500, 400, &[])]))?;
            }
            Ok(())
        });
        if play.trouble {
            wait_until(at(1.0));
            cell.configure(&configuration(
                2,
                vec![route("orders", "/orders/", "desk-b", 1)],
                &services,
            ))?;
            wait_until(Instant::now() + CONFIG_APPLY);
            // One at a time; the runner with the first step leaves last.
            let mut leaving = old.clone();
            leaving.sort_by_key(|runner| runner.runs(id));
            for runner in &leaving {
                runner
                    .leave(DRAIN)
                    .join()
                    .map_err(|_| "a runner did not leave".to_owned())?;
            }
        }
        traffic
            .join()
            .map_err(|_| "the traffic ended early".to_owned())?
    })?;
    wait_until(at(41.0));
    play.record.line("traffic ends");
    let ended_at = Instant::now();
    wait_until(ended_at + FINISH);
    let since = Instant::now();
    let state = cell.state(&path);
    wait_until(since + NOTHING_RUNS + Duration::from_millis(500));
    let all = play.record.runs(id);
    let ended_done = |step: &str| {
        let named = all.iter().filter(|run| run.task.contains(step));
        named
            .filter(|run| run.ended.as_ref().is_some_and(|(_, how)| how == "done"))
            .count()
    };
    if ended_done(".0.0.") == 0 {
        return Err("the first step did not end".to_owned());
    }
    let idle = new.iter().filter(|runner| runner.idle()).count();
    if state == "completed" && ended_done(".0.1.") == 2 {
        return Ok(None);
    }
    if any_at_work(&all, since) {
        return Err("the job is still at work".to_owned());
    }
    if idle < 8 {
        return Err(format!("only {idle} runners of desk-b are idle"));
    }
    let state = cell.state(&path);
    Ok(Some(format!(
        "job {id} is {state}; its first step ended done, nothing of it has run for {} s, and {idle} of 8 runners \
         of desk-b, to which version 2 sends the queue, are idle",
        since.elapsed().as_secs()
    )))
}

/// A job whose tasks last can never be done: they fail right after each start. A sound task that lasts,
/// of a less urgent queue, fails once and has to be restarted.
fn crash_loop(play: &Play<'_>) -> Verdict {
    let cell = Cell::start(play.program, play.folder, play.record)?;
    cell.await_ready()?;
    let runners = play.runners(&cell, "desk", "desk-a", 4);
    let routes = vec![
        route("urgent", "/urgent/", "desk-a", 0),
        route("standing", "/standing/", "desk-a", 1),
    ];
    cell.configure(&configuration(1, routes, &["desk-a"]))?;
    thread::sleep(Duration::from_millis(3_000));

    let begin = Instant::now();
    play.record.line("traffic begins");
    let at = |seconds: f64| begin + Duration::from_secs_f64(seconds);
    let lasts = [("long_running", Json::Bool(true))];
    let id = "5c0e7a21d94b36f8";
    let path = format!("/standing/{id}");
    cell.submit(
        &path,
        &job("last-fail 25000", vec![step(1, 1_000, 1_000, &lasts)]),
    )?;
    // Twenty jobs of the urgent queue; one of them is hopeless.
    for number in 0..20_u64 {
        wait_until(at(1.0 + 0.2 * number as f64));
        let path = format!("/urgent/00000000000000{number:02x}");
        let body = if number == 10 && play.trouble {
            job("fail 100", vec![step(4, 2_500, 1_000, &lasts)])
        } else {
            job("work 400", vec![step(1, 500, 400, &[])])
        };
        cell.submit(&path, &body)?;
    }
    wait_until(at(26.0));
    play.record.line("traffic ends");
    wait_until(at(26.0) + FINISH);
    let mut since = Instant::now();
    let mut all = play.record.runs(id);
    let last_end = all
        .iter()
        .filter_map(|run| run.ended.as_ref().map(|(at, _)| *at))
        .max();
    let Some(last_end) = last_end else {
        return Err("the sound task did not fail".to_owned());
    };
    since = since.max(last_end + AFTER_LAST_RUN);
    wait_until(since + NOTHING_RUNS + Duration::from_millis(500));
    all = play.record.runs(id);
    if any_at_work(&all, since) {
        return Ok(None);
    }
    let idle = runners.iter().filter(|runner| runner.idle()).count();
    let state = cell.state(&path);
    Ok(Some(format!(
        "the task of job {id}, which lasts, ended {:.1} s ago and has not been started again; the job is {state}, \
         {idle} of 4 runners are idle",
        last_end.elapsed().as_secs_f64()
    )))
}

/// A gang can never be done: beside the tasks that last, the runners have room for four of its five members.
/// A sound job of a less urgent queue waits with it until other jobs have left their room.
fn hoarding_gang(play: &Play<'_>) -> Verdict {
    let cell = Cell::start(play.program, play.folder, play.record)?;
    cell.await_ready()?;
    let runners = play.runners(&cell, "desk", "desk-a", 4);
    let routes = vec![
        route("urgent", "/urgent/", "desk-a", 0),
        route("orders", "/orders/", "desk-a", 1),
    ];
    cell.configure(&configuration(1, routes, &["desk-a"]))?;
    thread::sleep(Duration::from_millis(3_000));

    let begin = Instant::now();
    play.record.line("traffic begins");
    let at = |seconds: f64| begin + Duration::from_secs_f64(seconds);
    // One task that lasts on each runner, and one that uses most of the other room for 16 s.
    let one_each = ("anti_affinity", Json::number(1));
    let lasts = [("long_running", Json::Bool(true)), one_each.clone()];
    let body = job("last", vec![step(4, 1_200, 1_000, &lasts)]);
    cell.submit("/orders/5c0e7a21d94b3600", &body)?;
    let body = job("work 16000", vec![step(4, 2_300, 16_000, &[one_each])]);
    cell.submit("/orders/5c0e7a21d94b3601", &body)?;
    wait_until(at(2.0));
    let id = "5c0e7a21d94b36f8";
    let path = format!("/orders/{id}");
    cell.submit(&path, &job("work 1000", vec![step(1, 1_000, 1_000, &[])]))?;
    // Twenty jobs of the urgent queue; one of them is hopeless.
    for number in 0..20_u64 {
        wait_until(at(2.5 + 0.2 * number as f64));
        let path = format!("/urgent/00000000000000{number:02x}");
        let body = if number == 10 && play.trouble {
            let gang = [("gang", Json::Bool(true))];
            job("work 1000", vec![step(5, 2_000, 1_000, &gang)])
        } else {
            job("work 400", vec![step(1, 400, 400, &[])])
        };
        cell.submit(&path, &body)?;
    }
    wait_until(at(18.0));
    play.record.line("traffic ends");
    wait_until(at(18.0) + FINISH);
    let since = Instant::now();
    wait_until(since + NOTHING_RUNS + Duration::from_millis(500));
    let state = cell.state(&path);
    if state == "completed" {
        return Ok(None);
    }
    if any_at_work(&play.record.runs(id), since) {
        return Err(format!("the job is at work and {state}"));
    }
    if runners.iter().any(|runner| runner.tasks() != 1) {
        return Err("not every runner has just one task".to_owned());
    }
    Ok(Some(format!(
        "job {id}, whose task needs 1000, is {state} {:.1} s after the other jobs have ended, and each of the 4 \
         runners uses 1200 of {CPU}",
        (Instant::now() - at(16.5)).as_secs_f64()
    )))
}

/// An entry host freezes while a client hands a job in there. The client gets no answer, and cancels the job
/// at another entry host, before the first one wakes.
fn late_submission(play: &Play<'_>) -> Verdict {
    let cell = Cell::start(play.program, play.folder, play.record)?;
    cell.await_ready()?;
    let _runners = play.runners(&cell, "desk", "desk-a", 8);
    cell.configure(&configuration(
        1,
        vec![route("orders", "/orders/", "desk-a", 1)],
        &["desk-a"],
    ))?;
    thread::sleep(Duration::from_millis(3_000));

    play.record.line("traffic begins");
    for number in 0..8 {
        let path = format!("/orders/00000000000000{number:02x}");
        cell.submit(&path, &job("work 400", vec![step(2, 500, 400, &[])]))?;
    }
    let id = "5c0e7a21d94b36f8";
    let path = format!("/orders/{id}");
    let after_first = [("depends_on", Json::List(vec![Json::number(0)]))];
    let steps = vec![
        step(1, 1_000, 8_000, &[]),
        step(2, 1_000, 1_000, &after_first),
    ];
    let body = job("work 8000;work 1000", steps).to_string();
    if play.trouble {
        cell.freeze(0, true)?;
        cell.client_in_vain(0, "POST", &path, &body)?;
    } else {
        let answer = cell.client(0, "POST", &path, &body);
        answer
            .filter(|it| it.status() == 200)
            .ok_or("the job was not accepted")?;
    }
    let answer = cell.client(1, "DELETE", &path, "");
    let cancelled_at = Instant::now();
    let status = answer.map_or(0, |it| it.status());
    if status != 200 && status != 410 {
        return Err(format!("the cancellation got {status}"));
    }
    if play.trouble {
        thread::sleep(Duration::from_millis(300));
        cell.freeze(0, false)?;
    }
    wait_until(cancelled_at + FINISH);
    play.record.line("traffic ends");
    let late = play
        .record
        .starts(id)
        .into_iter()
        .filter(|at| *at > cancelled_at + CANCEL)
        .count();
    let state = cell.state(&path);
    if late == 0 {
        return Ok(None);
    }
    Ok(Some(format!(
        "the cancelling of job {id} was acknowledged with {status}, and {late} tasks of it started more than {} ms \
         later; it is shown as {state:?}",
        CANCEL.as_millis()
    )))
}

/// The time of day of a runner's machine is ahead when the runner starts. The runner crashes and starts again
/// under its identifier, while the clock is right again. One job needs a runner of its kind.
fn earlier_born(play: &Play<'_>) -> Verdict {
    let cell = Cell::start(play.program, play.folder, play.record)?;
    cell.await_ready()?;
    let runners = play.runners(&cell, "desk", "desk-a", 7);
    let routes = vec![route("orders", "/orders/", "desk-a", 1)];
    cell.configure(&configuration(1, routes, &["desk-a"]))?;
    thread::sleep(Duration::from_millis(3_000));

    play.record.line("traffic begins");
    for number in 0..8 {
        let path = format!("/orders/00000000000000{number:02x}");
        cell.submit(&path, &job("work 400", vec![step(2, 500, 400, &[])]))?;
    }
    let ahead_ms = if play.trouble { 2_400 } else { 0 };
    let life = |ahead_ms| {
        let odd = ("odd", "b");
        Runner::start_life(
            odd,
            "desk-a",
            ZONES[0],
            &cell.control(),
            play.record,
            ahead_ms,
        )
    };
    play.record.line(&format!(
        "runner odd starts; its clock is {ahead_ms} ms ahead"
    ));
    let first = life(ahead_ms);
    thread::sleep(Duration::from_millis(1_000));
    first.crash("crashes");
    thread::sleep(Duration::from_millis(500));
    play.record
        .line("runner odd starts again; its clock is right");
    let second = life(0);
    thread::sleep(Duration::from_millis(4_000));
    let id = "5c0e7a21d94b36f8";
    let path = format!("/orders/{id}");
    let label = [("required_label", Json::text("b"))];
    cell.submit(
        &path,
        &job("work 1000", vec![step(1, 1_000, 1_000, &label)]),
    )?;
    play.record.line("traffic ends");
    thread::sleep(FINISH);
    let since = Instant::now();
    wait_until(since + NOTHING_RUNS + Duration::from_millis(500));
    let state = cell.state(&path);
    if state == "completed" {
        return Ok(None);
    }
    if any_at_work(&play.record.runs(id), since) || !second.idle() {
        return Err(format!("the job is at work and {state}"));
    }
    let idle = runners.iter().filter(|runner| runner.idle()).count();
    Ok(Some(format!(
        "job {id} is {state}; it can run on runner odd, which is idle and whose heartbeats are acknowledged, and \
         nothing of it runs; {idle} of the 7 other runners are idle"
    )))
}
