//! A simulated placement policy. A permit is valid for one stage and one process of a runner, for a
//! limited time.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubewinch::http::{Request, Response, Server, ServerOptions};
use serde_json::{Value, json};

use super::Runner;

/// Time for which a permit is valid.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(2_500);
/// Time that the policy takes for an answer.
const DECISION_TIME: Duration = Duration::from_millis(10);

/// A permit that was issued.
struct Permit {
    worker: String,
    stage: String,
    /// Number of the process for which it was issued.
    born: u64,
    expires_at: Instant,
}

/// Permits of all runners.
#[derive(Default)]
struct Issued {
    runners: IndexMap<String, Weak<Runner>>,
    permits: Vec<Permit>,
}

/// Permits as a runner checks them.
pub struct Permits {
    worker: String,
    issued: Arc<Mutex<Issued>>,
}

impl Permits {
    /// Whether a permit was issued for this process of the runner and for the stage, and has not
    /// expired.
    pub fn are_valid(&self, permit: &str, stage: &str, born: u64) -> bool {
        let issued = self.issued.lock().unwrap();
        let position = permit.strip_prefix("permit-").unwrap_or_default();
        let position: Option<usize> = position.parse().ok();
        position
            .and_then(|position| issued.permits.get(position))
            .is_some_and(|permit| {
                permit.worker == self.worker
                    && permit.stage == stage
                    && permit.born == born
                    && Instant::now() < permit.expires_at
            })
    }
}

/// The placement policy, which allows all runners that were added to it.
pub struct PolicyService {
    issued: Arc<Mutex<Issued>>,
    server: Server,
}

impl PolicyService {
    /// Starts a policy without runners on a free port of 127.0.0.1.
    pub fn start() -> Self {
        let issued = Arc::<Mutex<Issued>>::default();
        let shared = Arc::clone(&issued);
        let server = Server::start(
            SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            ServerOptions::default(),
            Arc::new(move |request| advise(&shared, &request)),
        );
        Self {
            issued,
            server: server.unwrap(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Issues permits for a runner, which rejects start orders without one from now on.
    pub fn add(&self, worker: &str, runner: &Arc<Runner>) {
        let mut issued = self.issued.lock().unwrap();
        issued
            .runners
            .insert(worker.to_owned(), Arc::downgrade(runner));
        runner.require_permits(Arc::new(Permits {
            worker: worker.to_owned(),
            issued: Arc::clone(&self.issued),
        }));
    }
}

/// Issues a permit for the process that each of the named runners has at the end of the decision.
fn advise(issued: &Mutex<Issued>, request: &Request) -> Response {
    let body: Value = serde_json::from_slice(&request.body).unwrap();
    thread::sleep(DECISION_TIME);
    let mut good = Vec::new();
    for worker in body["workers"].as_array().unwrap() {
        let worker = worker.as_str().unwrap();
        let runner = issued.lock().unwrap().runners.get(worker).cloned();
        let Some(runner) = runner.and_then(|runner| runner.upgrade()) else {
            continue;
        };
        // A runner checks permits while its state is locked, so that nothing is locked here.
        let born = runner.born();
        let mut issued = issued.lock().unwrap();
        good.push(json!([worker, format!("permit-{}", issued.permits.len())]));
        issued.permits.push(Permit {
            worker: worker.to_owned(),
            stage: body["step"].as_str().unwrap().to_owned(),
            born,
            expires_at: Instant::now() + PERMIT_VALIDITY,
        });
    }
    Response::json(200, &json!({ "good": good }))
}
