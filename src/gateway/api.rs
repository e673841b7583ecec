//! HTTP interface for callers, runners and workers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime};

use hyper::Method;
use opentelemetry::KeyValue;

use super::throttle::{Throttle, ThrottleKey};
use super::{Router, access, jobs};
use crate::configuration::Configuration;
use crate::configuration::change::Role;
use crate::http::{Request, Response};
use crate::ids::HostId;
use crate::options::settings::TimingSettings;
use crate::placer::{Outcome, key};
use crate::protocol::caller::{Submission, Urgency};
use crate::protocol::headers;
use crate::telemetry::metrics::metrics;
use crate::verdict::{ErrorCode, RequestError, Verdict};

/// Text headers of a submission. A value with other than visible ASCII characters, spaces
/// and tabs is rejected.
const TEXT_HEADERS: [&str; 4] = [
    headers::IDEMPOTENCY_KEY,
    headers::MEMBER,
    headers::CALLER,
    headers::SERVICE,
];

/// State of the caller interface.
pub struct Gateway {
    /// This host, as in the setting `host.id`; a drain of it is matched by this identifier.
    pub host: HostId,
    /// Whether callers, runners and workers must present a token.
    pub authentication: bool,
    /// Configuration with the tokens and the drains of hosts.
    pub configuration: Arc<Configuration>,
    /// Router to the placers of all data centres.
    pub router: Router,
    /// Timing settings, among them the default and the longest timeout of a request.
    pub timing: TimingSettings,
    /// Returns whether this host has received the configuration of the cell. Until then it knows
    /// neither tokens nor exceptions and refuses requests.
    pub is_configured: Box<dyn Fn() -> bool + Send + Sync>,
    /// Sheds requests that the placer would refuse.
    pub throttle: Throttle,
    /// Set on shutdown. New requests are refused from then on.
    pub draining: AtomicBool,
    /// Number of HTTP requests in flight.
    pub in_flight: AtomicUsize,
}

impl Gateway {
    /// Handles one HTTP request and adds the data centre of this host to the response.
    pub fn handle(self: &Arc<Self>, request: &Request) -> Response {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let response = self.route(request);
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        response.header(headers::DATA_CENTRE, self.router.data_centre.clone())
    }

    fn route(&self, request: &Request) -> Response {
        let segments = request.segments();
        match (&request.method, segments.as_slice()) {
            (&Method::GET, ["live"]) => Response::text(200, "live\n"),
            (&Method::GET, ["ready"]) => self.ready(),
            (&Method::POST, ["v1", "requests"]) => self.submit(request),
            (&Method::GET, ["v1", "requests", key]) => {
                let outcome = access::require(self, request, Role::Submit)
                    .and_then(|_| self.router.query(key));
                self.respond(outcome, "")
            }
            (&Method::DELETE, ["v1", "requests", key]) => self.cancel(request, key),
            (&Method::POST, ["v1", "jobs"]) => jobs::submit(self, request),
            (&Method::GET, ["v1", "jobs", id]) => jobs::query(self, request, id),
            (&Method::DELETE, ["v1", "jobs", id]) => jobs::cancel(self, request, id),
            (&Method::POST, ["v1", "announcements"]) => self.announce(request),
            _ => {
                let message = format!("no {} {}", request.method, request.path);
                Response::error(&RequestError::did_not_run(ErrorCode::NotFound, message), "")
            }
        }
    }

    /// Returns whether the load balancer should send callers to this host.
    pub fn is_ready(&self) -> bool {
        let drained = self.configuration.read().is_host_drained(&self.host);
        !drained && !self.draining.load(Ordering::Acquire) && (self.is_configured)()
    }

    fn ready(&self) -> Response {
        if self.is_ready() {
            return Response::text(200, "ready\n");
        }
        Response::text(503, "not ready\n")
    }

    fn submit(&self, request: &Request) -> Response {
        let request_id = format!("{:016x}", rand::random::<u64>());
        if let Err(error) = self.accepts_work() {
            return Response::error(&error, &request_id);
        }
        let outcome = self.submission(request).and_then(|submission| {
            let has_caller_key = request.header(headers::IDEMPOTENCY_KEY).is_some();
            let outcome = self.submit_throttled(&submission, has_caller_key);
            log_outcome(&request_id, &submission, &outcome);
            outcome
        });
        record_metrics(&outcome);
        self.respond(outcome, &request_id)
    }

    /// Refuses new work while this host is shutting down or not configured.
    pub(super) fn accepts_work(&self) -> Result<(), RequestError> {
        if self.draining.load(Ordering::Acquire) {
            let error = RequestError::did_not_run(ErrorCode::ShuttingDown, "this host is draining");
            return Err(error.retry_after_ms(100));
        }
        if !(self.is_configured)() {
            let message = "this host has not received the configuration yet";
            let error = RequestError::did_not_run(ErrorCode::Unavailable, message);
            return Err(error.retry_after_ms(1_000));
        }
        Ok(())
    }

    /// Forwards a request unless the throttle sheds it. A request with a key from the caller is
    /// never shed: an earlier attempt with that key may have run, which only the placer knows.
    fn submit_throttled(&self, submission: &Submission, has_caller_key: bool) -> Outcome {
        let throttle_key = ThrottleKey {
            data_centre: key::home_data_centre(&submission.key, &self.router.data_centres),
            member: submission.member.clone(),
            service: submission.service.clone(),
            urgency: submission.urgency,
        };
        if !has_caller_key {
            self.throttle
                .check(&throttle_key, Instant::now(), rand::random())?;
        }
        let outcome = self.router.submit(submission);
        self.throttle
            .record(&throttle_key, &outcome, Instant::now());
        outcome
    }

    fn respond(&self, outcome: Outcome, request_id: &str) -> Response {
        let response = match outcome {
            Ok(answer) => Response::bytes(200, answer.body)
                .header(headers::VERDICT, Verdict::Ran.to_string())
                .header(headers::WAIT_US, answer.wait_us.to_string()),
            Err(error) => Response::error(&error, request_id),
        };
        response.header(headers::REQUEST_ID, request_id)
    }

    fn cancel(&self, request: &Request, request_key: &str) -> Response {
        let permitted = access::require(self, request, Role::Submit);
        let error = match permitted.and_then(|_| self.router.cancel(request_key)) {
            Ok(true) => {
                return Response::json(200, &serde_json::json!({ "verdict": Verdict::DidNotRun }));
            }
            Ok(false) => RequestError::may_have_run(
                ErrorCode::Cancelled,
                "the request is not waiting; query its outcome",
            ),
            Err(error) => error,
        };
        Response::error(&error, "")
    }

    fn announce(&self, request: &Request) -> Response {
        match access::require(self, request, Role::Announce)
            .and_then(|_| request.json())
            .and_then(|announcement| self.router.announce(announcement))
        {
            Ok(reply) => Response::json(200, &reply),
            Err(error) => Response::error(&error, ""),
        }
    }

    fn submission(&self, request: &Request) -> Result<Submission, RequestError> {
        let bad = |message: &str| RequestError::did_not_run(ErrorCode::BadRequest, message);
        for name in TEXT_HEADERS {
            // If an unreadable key counted as absent, a retry would run again under another key.
            if request.headers.contains_key(name) && request.header(name).is_none() {
                return Err(bad(&format!("header {name} is not plain text")));
            }
        }
        let member = access::member(self, request)?;
        let service = request
            .header(headers::SERVICE)
            .filter(|service| !service.is_empty())
            .ok_or_else(|| bad("header jujubewinch-service is required"))?;
        let idempotent = request
            .parse_header::<bool>(headers::IDEMPOTENT)?
            .unwrap_or(false);
        let timeout_ms = request
            .parse_header::<u64>(headers::TIMEOUT_MS)?
            .unwrap_or(self.timing.default_request_timeout_ms);
        if timeout_ms == 0 || timeout_ms > self.timing.max_request_timeout_ms {
            let longest = self.timing.max_request_timeout_ms;
            return Err(bad(&format!(
                "jujubewinch-timeout-ms must be from 1 to {longest}"
            )));
        }
        let urgency = request
            .parse_header::<Urgency>(headers::URGENCY)?
            .unwrap_or_default();
        let key = self.request_key(request, idempotent)?;
        Ok(Submission {
            key,
            member,
            caller: request
                .header(headers::CALLER)
                .unwrap_or_default()
                .to_owned(),
            service: service.to_owned(),
            idempotent,
            urgency,
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            payload: request.body.clone(),
        })
    }

    fn request_key(&self, request: &Request, idempotent: bool) -> Result<String, RequestError> {
        let bad = |message: String| RequestError::did_not_run(ErrorCode::BadRequest, message);
        let Some(value) = request.header(headers::IDEMPOTENCY_KEY) else {
            if idempotent {
                return Ok(self.generated_key());
            }
            return Err(bad(
                "header idempotency-key is required unless idempotent".to_owned()
            ));
        };
        if value.is_empty() || value.len() > key::MAX_KEY_BYTES {
            return Err(bad(format!(
                "idempotency-key must have 1 to {} bytes",
                key::MAX_KEY_BYTES
            )));
        }
        let structured = key::StructuredKey::parse(value, &self.router.data_centres);
        if !idempotent && structured.is_none() {
            let names = self.router.data_centres.join(", ");
            return Err(bad(format!(
                "idempotency-key must have the form <data centre>.<Unix seconds>.<text> \
                 with one of {names}, unless jujubewinch-idempotent is true"
            )));
        }
        Ok(value.to_owned())
    }

    pub(super) fn generated_key(&self) -> String {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        format!(
            "{}.{}.{:032x}",
            self.router.data_centre,
            now.as_secs(),
            rand::random::<u128>()
        )
    }
}

fn log_outcome(request_id: &str, submission: &Submission, outcome: &Outcome) {
    let verdict = outcome
        .as_ref()
        .map_or_else(|error| error.verdict, |_| Verdict::Ran);
    log::debug!(
        request_id, key = submission.key.as_str(), member = submission.member.as_str(),
        verdict = verdict.to_string().as_str();
        "request finished"
    );
}

fn record_metrics(outcome: &Outcome) {
    let (verdict, code) = match outcome {
        Ok(answer) => {
            metrics()
                .request_wait_seconds
                .record(answer.wait_us as f64 / 1e6, &[]);
            (Verdict::Ran, "ok".to_owned())
        }
        Err(error) => (error.verdict, error.code.to_string()),
    };
    let labels = [
        KeyValue::new("verdict", verdict.to_string()),
        KeyValue::new("code", code),
    ];
    metrics().requests.add(1, &labels);
}
