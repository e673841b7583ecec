//! Tests of jobs over real sockets, from the caller interface through the placement log to the
//! worker interface.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use hyper::Method;
use indexmap::IndexMap;
use jujubewinch::agent::executions::Execution;
use jujubewinch::agent::{Agent, AgentOptions};
use jujubewinch::entry_host::EntryHost;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions};
use jujubewinch::options::Settings;
use jujubewinch::protocol::headers;
use jujubewinch::protocol::job::{JobPhase, JobView};
use jujubewinch::replication::ReplicaPhase;
use jujubewinch::resources::Resources;
use serde_json::{Value, json};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const GROUP: &str = "placement/erdenet";

struct Cell {
    hosts: Vec<EntryHost>,
    workers: Vec<Agent>,
    client: Client,
}

impl Cell {
    /// Starts entry hosts of one data centre, and workers with 4 cores and 4 GiB each.
    fn start(hosts: usize, workers: usize) -> Self {
        let hosts = start_hosts(hosts);
        let entry_hosts: Vec<SocketAddr> = hosts.iter().map(EntryHost::caller_address).collect();
        let cell = Self {
            workers: (0..workers)
                .map(|number| start_worker(number, &entry_hosts))
                .collect(),
            hosts,
            client: Client::new(ClientOptions::default()),
        };
        cell.wait_for_workers();
        cell
    }

    fn send(&self, host: usize, method: Method, path: &str, body: &Value) -> ClientResponse {
        let url = format!("http://{}{path}", self.hosts[host].caller_address());
        let mut request = ClientRequest::new(method, url, Instant::now() + WAIT_TIMEOUT);
        if !body.is_null() {
            request.body = serde_json::to_vec(body).unwrap();
        }
        self.client.send(request).expect("the entry host answers")
    }

    /// Makes a call and retries it while the data centre has no placer.
    fn call(&self, host: usize, method: &Method, path: &str, body: &Value) -> JobView {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self.send(host, method.clone(), path, body);
            if response.status < 300 {
                return serde_json::from_slice(&response.body).unwrap();
            }
            let text = String::from_utf8_lossy(&response.body).into_owned();
            assert!(matches!(response.status, 502 | 503), "{text}");
            assert!(Instant::now() < deadline, "{text}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn submit(&self, host: usize, job: &Value) -> JobView {
        self.call(host, &Method::POST, "/v1/jobs", job)
    }

    fn status(&self, host: usize, id: &str) -> JobView {
        let path = format!("/v1/jobs/{id}");
        self.call(host, &Method::GET, &path, &Value::Null)
    }

    fn wait(&self, host: usize, id: &str, reached: impl Fn(&JobView) -> bool) -> JobView {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let view = self.status(host, id);
            if reached(&view) {
                return view;
            }
            assert!(Instant::now() < deadline, "{view:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Counts the starts of each task of a job on all workers, by index of the task.
    fn starts(&self, id: &str) -> IndexMap<String, u32> {
        let mut starts = IndexMap::new();
        for execution in self.executions() {
            if let Some(task) = execution.task.strip_prefix(&format!("{id}-")) {
                let (index, _) = task.rsplit_once('-').unwrap();
                *starts.entry(index.to_owned()).or_default() += 1;
            }
        }
        starts
    }

    fn executions(&self) -> Vec<Execution> {
        let workers = self.workers.iter();
        workers
            .flat_map(|worker| worker.tasks().executions())
            .collect()
    }

    fn running(&self) -> usize {
        let running = self.workers.iter().map(|worker| worker.tasks().running());
        running.sum()
    }

    fn wait_for_workers(&self) {
        let known = |worker: &Agent| worker.tasks().highest_epoch() > 0;
        wait_until("a worker is not announced", || {
            self.workers.iter().all(known)
        });
    }

    fn leader(&self) -> usize {
        let leads = |host: &EntryHost| host.placement_status()[GROUP].phase == ReplicaPhase::Leader;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(leader) = self.hosts.iter().position(leads) {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn wait_until(message: &str, reached: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reached() {
        assert!(Instant::now() < deadline, "{message}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn start_worker(number: usize, entry_hosts: &[SocketAddr]) -> Agent {
    Agent::start(AgentOptions {
        worker: format!("worker-{number}"),
        data_centre: "erdenet".to_owned(),
        rack: format!("rack-{number}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        entry_hosts: entry_hosts.to_vec(),
        resources: Resources {
            cpu_millis: 4_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
        runner: None,
    })
    .expect("a free port is available")
}

fn settings(peers: &[SocketAddr], position: usize) -> Settings {
    let mut text = format!(
        "[host]\nid = \"host-{position}\"\n\
         [listeners]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"{}\"\n\
         [cell]\nname = \"test\"\n[timing]\ndrain_delay_ms = 0\n",
        peers[position]
    );
    for (number, address) in peers.iter().enumerate() {
        text += &format!(
            "[[cell.hosts]]\nid = \"host-{number}\"\ndata_centre = \"erdenet\"\n\
             region = \"orkhon\"\npeers = \"{address}\"\n"
        );
    }
    Settings::parse(&text, "test.toml").expect("the settings are valid")
}

/// Starts all hosts. Retries with other ports when another process has taken one.
fn start_hosts(count: usize) -> Vec<EntryHost> {
    let mut retries = 0;
    'ports: loop {
        let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
        let address = |listener: &TcpListener| listener.local_addr().unwrap();
        let peers: Vec<SocketAddr> = listeners.iter().map(address).collect();
        drop(listeners);
        let mut started = Vec::new();
        for position in 0..count {
            match EntryHost::start(settings(&peers, position)) {
                Ok(host) => started.push(host),
                Err(error) if error.kind() == ErrorKind::AddrInUse && retries < 10 => {
                    started.iter().for_each(EntryHost::stop);
                    retries += 1;
                    continue 'ports;
                }
                Err(error) => panic!("host {position} does not start: {error}"),
            }
        }
        return started;
    }
}

fn fresh_id(text: &str) -> String {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    format!("erdenet.{}.{text}", now.unwrap().as_secs())
}

fn job(id: &str, kind: &str, tasks: u32, cpu_millis: u64, payload: &Value) -> Value {
    json!({
        "id": id,
        "kind": kind,
        "tasks": tasks,
        "resources": { "cpu_millis": cpu_millis, "memory_mib": 256 },
        "payload": payload.to_string(),
    })
}

/// Guards against tasks that are lost or run twice between the caller and the workers.
#[test]
fn a_batch_job_runs_all_its_tasks_once() {
    let cell = Cell::start(1, 2);
    let id = fresh_id("batch");
    cell.submit(0, &job(&id, "batch", 12, 1_000, &json!({ "work_ms": 50 })));
    let ended = cell.wait(0, &id, |view| view.phase == JobPhase::Ended);
    assert_eq!((ended.succeeded, ended.failed), (12, 0));
    let starts = cell.starts(&id);
    assert_eq!(starts.len(), 12);
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

/// Guards against a gang of which some tasks start while the others lack resources.
#[test]
fn a_gang_waits_until_all_its_tasks_fit() {
    let cell = Cell::start(1, 2);
    let first = fresh_id("holder");
    let forever = json!({ "until_stopped": true });
    cell.submit(0, &job(&first, "service", 1, 4_000, &forever));
    wait_until("the service does not start", || cell.running() == 1);
    let gang = fresh_id("gang");
    cell.submit(0, &job(&gang, "gang", 2, 3_000, &json!({ "work_ms": 10 })));
    // Leaves time for several scheduling rounds, in which a premature start would show.
    thread::sleep(Duration::from_millis(500));
    let path = format!("/v1/jobs/{first}");
    cell.call(0, &Method::DELETE, &path, &Value::Null);
    let ended = cell.wait(0, &gang, |view| view.phase == JobPhase::Ended);
    assert_eq!((ended.succeeded, ended.failed), (2, 0));
    let executions: Vec<Execution> = cell.executions();
    let holder = executions
        .iter()
        .find(|execution| execution.task.starts_with(&first));
    let free_at = holder.and_then(|execution| execution.ended_at).unwrap();
    let of_gang = executions
        .iter()
        .filter(|execution| execution.task.starts_with(&gang));
    let starts: Vec<Instant> = of_gang.map(|execution| execution.started_at).collect();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|started_at| *started_at >= free_at));
}

/// Guards against a job that waits for ever because no worker is large enough.
#[test]
fn an_infeasible_job_is_refused_with_the_reason() {
    let cell = Cell::start(1, 1);
    let id = fresh_id("large");
    let large = job(&id, "batch", 1, 64_000, &json!({}));
    // A new placer does not know the resources of its workers until they have announced themselves.
    wait_until("the job is not refused for good", || {
        let response = cell.send(0, Method::POST, "/v1/jobs", &large);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.header(headers::VERDICT), Some("did_not_run"));
        if response.status == 503 {
            return false;
        }
        assert_eq!(response.status, 422, "{body}");
        assert!(body.contains("infeasible"), "{body}");
        assert!(body.contains("64000"), "{body}");
        true
    });
    assert!(cell.starts(&id).is_empty());
}

/// Guards against jobs that are lost with their placer, and against tasks that the next placer
/// starts a second time.
#[test]
fn a_job_survives_the_loss_of_the_placer() {
    let cell = Cell::start(3, 2);
    let id = fresh_id("survivor");
    cell.submit(
        0,
        &job(&id, "batch", 16, 1_000, &json!({ "work_ms": 1_000 })),
    );
    wait_until("no task starts", || !cell.starts(&id).is_empty());
    let leader = cell.leader();
    cell.hosts[leader].stop();
    let other = (leader + 1) % 3;
    let ended = cell.wait(other, &id, |view| view.phase == JobPhase::Ended);
    assert_eq!((ended.succeeded, ended.failed), (16, 0));
    let starts = cell.starts(&id);
    assert_eq!(starts.len(), 16);
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

/// Guards against a service that still runs after its cancellation was confirmed to the caller.
#[test]
fn a_cancelled_service_stops() {
    let cell = Cell::start(1, 1);
    let id = fresh_id("service");
    let forever = json!({ "until_stopped": true });
    cell.submit(0, &job(&id, "service", 2, 1_000, &forever));
    wait_until("the service does not start", || cell.running() == 2);
    cell.call(0, &Method::DELETE, &format!("/v1/jobs/{id}"), &Value::Null);
    cell.wait(0, &id, |view| view.phase == JobPhase::Cancelled);
    assert_eq!(cell.running(), 0);
}

/// Guards against a retry that creates a second job, and against one id for two different jobs.
#[test]
fn a_resubmitted_id_returns_the_same_job() {
    let cell = Cell::start(1, 1);
    let id = fresh_id("again");
    let described = job(&id, "batch", 2, 1_000, &json!({ "work_ms": 500 }));
    assert_eq!(cell.submit(0, &described).id, id);
    assert_eq!(cell.submit(0, &described).id, id);
    let other = job(&id, "batch", 3, 1_000, &json!({ "work_ms": 500 }));
    assert_eq!(cell.send(0, Method::POST, "/v1/jobs", &other).status, 422);
    cell.wait(0, &id, |view| view.phase == JobPhase::Ended);
    assert_eq!(cell.submit(0, &described).phase, JobPhase::Ended);
    let starts = cell.starts(&id);
    assert_eq!(starts.len(), 2);
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

/// Guards against accepting ids whose job may have run before, and ids that break a URL path.
#[test]
fn ids_are_refused_by_form_and_age() {
    let cell = Cell::start(1, 1);
    let cases = [
        ("free", 400, "did_not_run"),
        ("erdenet.1764820000.a/b", 400, "did_not_run"),
        ("erdenet.1000.x", 410, "may_have_run"),
        ("erdenet.99999999999.x", 400, "did_not_run"),
    ];
    for (id, status, verdict) in cases {
        let described = job(id, "batch", 1, 100, &json!({}));
        let response = cell.send(0, Method::POST, "/v1/jobs", &described);
        assert_eq!(response.status, status, "{id}");
        assert_eq!(response.header(headers::VERDICT), Some(verdict), "{id}");
    }
}
