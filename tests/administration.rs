//! Contract of the administration interface and of authentication, over real sockets.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use jujubewinch::admin::Admin;
use jujubewinch::admin::routes::{Access, ROUTES, Route};
use jujubewinch::admin::sources::AdminSources;
use jujubewinch::clock::Clock;
use jujubewinch::configuration::Configuration;
use jujubewinch::configuration::change::Role;
use jujubewinch::configuration::digest::Sha256Digest;
use jujubewinch::configuration::log::{ConfigurationLog, LogFault};
use jujubewinch::entry_host::EntryHost;
use jujubewinch::http::client::{ClientRequest, ClientResponse};
use jujubewinch::http::{Client, ClientOptions, Server, ServerOptions};
use jujubewinch::options::Settings;
use jujubewinch::protocol::headers;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(30);
/// Secrets of the tokens that [`Host::start`] adds, by role.
const TOKENS: [(&str, &str); 3] = [
    ("read", "r-secret"),
    ("submit", "s-secret"),
    ("announce", "a-secret"),
];
const OPERATOR: &str = "o-secret";

struct Host {
    host: EntryHost,
    client: Client,
}

impl Host {
    /// An entry host with authentication and a token of each role.
    fn start() -> Self {
        let text = include_str!("settings/valid/single.toml");
        let mut settings = Settings::parse(text, "single.toml").unwrap();
        settings.cell.authentication = true;
        settings.cell.operator_token_sha256 = Some(Sha256Digest::of(OPERATOR.as_bytes()));
        let host = Self {
            host: EntryHost::start(settings).expect("free ports are available"),
            client: Client::new(ClientOptions::default()),
        };
        for (role, secret) in TOKENS {
            let body = json!({
                "token": role, "role": role, "sha256": Sha256Digest::of(secret.as_bytes()),
                "member": (role == "submit").then_some("tuul"), "reason": "test",
            });
            assert_eq!(
                host.call("POST", "/v1/tokens", Some(OPERATOR), &body)
                    .status,
                200
            );
        }
        host
    }

    fn call(&self, method: &str, path: &str, token: Option<&str>, body: &Value) -> ClientResponse {
        exchange(
            &self.client,
            self.host.admin_address(),
            method,
            path,
            token,
            body,
        )
    }
}

fn exchange(
    client: &Client,
    address: SocketAddr,
    method: &str,
    path: &str,
    token: Option<&str>,
    body: &Value,
) -> ClientResponse {
    let url = format!("http://{address}{path}");
    let method: Method = method.parse().unwrap();
    let mut request = ClientRequest::new(method, url, Instant::now() + PATIENCE);
    if let Some(token) = token {
        request = request.header(headers::AUTHORIZATION, format!("Bearer {token}"));
    }
    if !body.is_null() {
        request.body = serde_json::to_vec(body).unwrap();
    }
    client.send(request).expect("the host answers")
}

/// Whether `actual` has everything that `expected` has.
fn includes(actual: &Value, expected: &Value) -> bool {
    match (actual, expected) {
        (Value::Object(actual), Value::Object(expected)) => expected
            .iter()
            .all(|(name, value)| actual.get(name).is_some_and(|found| includes(found, value))),
        (Value::Array(actual), Value::Array(expected)) => {
            actual.len() == expected.len()
                && actual.iter().zip(expected).all(|(a, b)| includes(a, b))
        }
        _ => actual == expected,
    }
}

/// Guards against a call that is open to a role that must not make it.
#[test]
fn every_call_is_refused_without_its_role() {
    let host = Host::start();
    for route in ROUTES {
        let path = route
            .path
            .replace("{figure}", "retry.budget_percent")
            .replace("{target}", "worker:w1")
            .replace(['{', '}'], "");
        for (role, secret) in TOKENS.into_iter().chain([("operate", OPERATOR)]) {
            let response = host.call(route.method, &path, Some(secret), &Value::Null);
            let permitted = match route.access {
                Access::Anyone => true,
                Access::Role(Role::Read) => role == "read" || role == "operate",
                Access::Role(needed) => role == needed.to_string(),
            };
            assert_eq!(
                response.status != 403,
                permitted,
                "{role} {} {path}",
                route.method
            );
        }
        for token in [None, Some("unknown")] {
            let response = host.call(route.method, &path, token, &Value::Null);
            let expected = if route.access == Access::Anyone {
                200
            } else {
                401
            };
            assert_eq!(
                response.status, expected,
                "{token:?} {} {path}",
                route.method
            );
        }
    }
}

type Case = (&'static str, &'static str, Value, u16, Value);

fn check(host: &Host, cases: Vec<Case>) {
    for (method, path, body, status, expected) in cases {
        let response = host.call(method, path, Some(OPERATOR), &body);
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, status, "{method} {path} {body}: {text}");
        let actual: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        assert!(
            includes(&actual, &expected),
            "{method} {path} {body}: {text}"
        );
    }
}

/// Guards against calls whose path, status or body differs from `docs/api.md`. The versions
/// follow from the three tokens of [`Host::start`].
#[test]
fn changes_are_accepted_listed_and_audited() {
    let host = Host::start();
    let author = "settings-operator";
    let accepted = |version: u64| json!({ "outcome": "accepted", "version": version });
    let origin = |reason: &str| json!({ "author": author, "reason": reason });
    check(
        &host,
        vec![
            (
                "PUT",
                "/v1/defaults/retry.budget_percent",
                json!({"value": 20, "reason": "r"}),
                200,
                accepted(4),
            ),
            (
                "GET",
                "/v1/exceptions/explain?figure=retry.budget_percent",
                json!(null),
                200,
                json!({"value": 20, "decided_by": {"kind": "default", "origin": origin("r")}}),
            ),
            (
                "POST",
                "/v1/exceptions",
                json!({"figure": "retry.budget_percent", "scope": "member:tuul",
            "value": 5, "reason": "flood"}),
                200,
                accepted(5),
            ),
            (
                "POST",
                "/v1/exceptions/exception-5/challenge",
                json!({"reason": "too low"}),
                200,
                accepted(6),
            ),
            (
                "GET",
                "/v1/exceptions?scope=member:tuul&state=in_effect",
                json!(null),
                200,
                json!({"version": 6, "exceptions": [{"id": "exception-5", "origin": origin("flood"),
                "challenges": [origin("too low")], "state": "in_effect"}]}),
            ),
            (
                "GET",
                "/v1/exceptions?state=lapsed",
                json!(null),
                200,
                json!({"exceptions": []}),
            ),
            (
                "GET",
                "/v1/exceptions/explain?figure=retry.budget_percent&member=tuul",
                json!(null),
                200,
                json!({"value": 5, "default": 20, "decided_by": {"kind": "exception"}}),
            ),
            (
                "POST",
                "/v1/exceptions/exception-5/expire",
                json!({"reason": "over"}),
                200,
                accepted(7),
            ),
            (
                "PUT",
                "/v1/teams/tuul",
                json!({"weight": 3, "quota": {"request_slots": 9}, "reason": "r"}),
                200,
                accepted(8),
            ),
            (
                "GET",
                "/v1/teams",
                json!(null),
                200,
                json!({"teams": [{"member": "tuul", "weight": 3, "quota": {"request_slots": 9}}]}),
            ),
            (
                "GET",
                "/v1/members",
                json!(null),
                200,
                json!({"members": [{"member": "tuul", "team": {"weight": 3}}]}),
            ),
            (
                "POST",
                "/v1/teams/tuul/remove",
                json!({"reason": "r"}),
                200,
                accepted(9),
            ),
            (
                "PUT",
                "/v1/drains/worker:a%2Fb",
                json!({"reason": "r"}),
                200,
                accepted(10),
            ),
            (
                "GET",
                "/v1/drains",
                json!(null),
                200,
                json!({"drains": [{"target": "worker:a/b"}]}),
            ),
            (
                "POST",
                "/v1/drains/worker:a%2Fb/undrain",
                json!({"reason": "r"}),
                200,
                accepted(11),
            ),
            (
                "POST",
                "/v1/tokens/read/revoke",
                json!({"reason": "lost"}),
                200,
                accepted(12),
            ),
            (
                "GET",
                "/v1/tokens",
                json!(null),
                200,
                json!({"tokens": [{"token": "submit", "member": "tuul"}, {"token": "announce"}]}),
            ),
            (
                "GET",
                "/v1/audit?kind=set_team&author=settings-operator",
                json!(null),
                200,
                json!({"entries": [{"version": 8, "author": author, "kind": "set_team", "subject": "tuul",
                "before": null, "after": {"weight": 3}}]}),
            ),
            (
                "GET",
                "/v1/audit?until_unix_ms=1",
                json!(null),
                200,
                json!({"entries": []}),
            ),
            (
                "GET",
                "/v1/audit?limit=1",
                json!(null),
                200,
                json!({"entries": [{"version": 12}]}),
            ),
            (
                "GET",
                "/v1/audit/verify",
                json!(null),
                200,
                json!({"intact": true, "entries": 12}),
            ),
            (
                "GET",
                "/v1/hosts",
                json!(null),
                200,
                json!({"hosts": [{"host": "erdenet-1", "drained": false}]}),
            ),
            (
                "GET",
                "/v1/configuration/status",
                json!(null),
                200,
                json!({"host": "erdenet-1",
            "version": 12, "log": {"leader": "erdenet-1", "has_quorum": true},
            "applied": [{"data_centre": "erdenet", "version": 12, "behind": 0}]}),
            ),
            ("GET", "/v1/fleet", json!(null), 200, json!({"workers": []})),
            (
                "GET",
                "/v1/queue",
                json!(null),
                200,
                json!({"queues": [{"data_centre": "erdenet", "leading": true, "queued_requests": 0}]}),
            ),
            (
                "PUT",
                "/v1/drains/host:erdenet-1",
                json!({"reason": "r"}),
                200,
                accepted(13),
            ),
            ("GET", "/ready", json!(null), 503, json!(null)),
            ("GET", "/live", json!(null), 200, json!(null)),
            ("GET", "/metrics", json!(null), 200, json!(null)),
        ],
    );
}

/// Guards against refusals with a wrong status or without advice, and against refused calls that
/// change something.
#[test]
fn wrong_calls_are_refused_with_advice() {
    let host = Host::start();
    let budget = "/v1/defaults/retry.budget_percent";
    let bad = |message: &str| json!({ "code": "bad_request", "verdict": "did_not_run", "message": message });
    let exception = |scope: &str, expiry: u64| {
        json!({"figure": "retry.budget_percent", "scope": scope,
        "value": 5, "reason": "r", "expires_at_unix_ms": expiry})
    };
    check(
        &host,
        vec![
            (
                "PUT",
                budget,
                json!({"value": 5}),
                400,
                bad("reason is required; state why the change is made"),
            ),
            (
                "PUT",
                budget,
                json!({"value": 101, "reason": "r"}),
                400,
                bad("retry.budget_percent must be from 0 to 100 (percent), not 101"),
            ),
            (
                "PUT",
                budget,
                json!({"reason": "r"}),
                400,
                bad("invalid body: missing field `value`"),
            ),
            (
                "PUT",
                budget,
                json!({"value": 5, "reason": "r", "force": true}),
                400,
                bad("invalid body: unknown field `force`, expected `value`"),
            ),
            (
                "PUT",
                "/v1/defaults/retry.budget",
                json!({"value": 5, "reason": "r"}),
                400,
                bad("no policy figure retry.budget; `jujubewinch config list` prints all of them"),
            ),
            (
                "PUT",
                budget,
                json!({"value": 5, "reason": "r", "author": "x"}),
                403,
                json!({"message":
            "the author is the holder of the token, settings-operator; leave out author"}),
            ),
            (
                "POST",
                "/v1/exceptions",
                exception("worker:w", 9_999_999_999_999),
                400,
                bad(
                    "retry.budget_percent has no exceptions for a worker; allowed: member, service",
                ),
            ),
            (
                "POST",
                "/v1/exceptions",
                exception("member:m", 1),
                400,
                bad("expires_at_unix_ms is in the past"),
            ),
            (
                "POST",
                "/v1/exceptions/exception-9/expire",
                json!({"reason": "r"}),
                422,
                json!({
            "outcome": "rejected", "message": "no exception exception-9; list them first"}),
            ),
            (
                "PUT",
                "/v1/teams/a%2Fb",
                json!({"weight": 1, "reason": "r"}),
                400,
                bad("member must not contain a slash"),
            ),
            (
                "PUT",
                "/v1/teams/a",
                json!({"weight": 0, "reason": "r"}),
                400,
                bad("weight must be from 1 to 10000"),
            ),
            (
                "POST",
                "/v1/tokens",
                json!({"token": "t", "sha256": Sha256Digest::of(b"t"),
            "role": "submit", "reason": "r"}),
                400,
                bad("member is required for the role submit"),
            ),
            (
                "PUT",
                "/v1/drains/rack:1",
                json!({"reason": "r"}),
                400,
                bad("\"rack:1\" must have the form worker:WORKER or host:HOST"),
            ),
            (
                "GET",
                "/v1/audit?since=5",
                json!(null),
                400,
                bad("unknown query parameter since"),
            ),
            (
                "GET",
                "/v1/audit?limit=x",
                json!(null),
                400,
                bad("query parameter limit is not valid: \"x\""),
            ),
            (
                "GET",
                "/v1/exceptions/explain?figure=retry.budget_percent&caller=c",
                json!(null),
                400,
                bad("a caller needs its member as well"),
            ),
            (
                "GET",
                "/v1/changes/unheard-of",
                json!(null),
                404,
                json!({"code": "not_found"}),
            ),
            (
                "DELETE",
                "/v1/teams/a",
                json!(null),
                404,
                json!({"code": "not_found"}),
            ),
            (
                "GET",
                "/v1/audit/verify",
                json!(null),
                200,
                json!({"entries": 3}),
            ),
        ],
    );
}

/// Guards against two winners for one version, a resend that is applied twice, and a dry run that
/// changes something.
#[test]
fn conflicts_resends_and_dry_runs_over_http() {
    let host = Host::start();
    let budget = "/v1/defaults/retry.budget_percent";
    let body = |id: &str, value: u64| json!({"value": value, "reason": "r", "change_id": id, "expected_version": 3});
    let mut dry = body("dry", 15);
    dry["dry_run"] = json!(true);
    let winner = json!({"author": "settings-operator", "version": 4, "change_id": "a",
        "change": {"set_default": {"figure": "retry.budget_percent", "value": 11}}});
    check(
        &host,
        vec![
            (
                "PUT",
                budget,
                dry.clone(),
                200,
                json!({"outcome": "valid", "version": 4, "before": null,
            "after": {"value": 15, "origin": {"reason": "r"}}}),
            ),
            ("GET", "/v1/changes/dry", json!(null), 404, json!({})),
            (
                "PUT",
                budget,
                body("a", 11),
                200,
                json!({"outcome": "accepted", "version": 4}),
            ),
            (
                "PUT",
                budget,
                body("b", 12),
                409,
                json!({"outcome": "conflict", "accepted": winner.clone()}),
            ),
            (
                "PUT",
                budget,
                body("a", 11),
                200,
                json!({"outcome": "accepted", "version": 4}),
            ),
            (
                "PUT",
                budget,
                body("b", 12),
                409,
                json!({"outcome": "conflict", "accepted": winner}),
            ),
            (
                "PUT",
                budget,
                body("a", 99),
                422,
                json!({"outcome": "rejected"}),
            ),
            ("PUT", budget, dry, 409, json!({"outcome": "conflict"})),
            (
                "GET",
                "/v1/changes/a",
                json!(null),
                200,
                json!({"outcome": "accepted", "version": 4}),
            ),
            (
                "GET",
                "/v1/changes/b",
                json!(null),
                200,
                json!({"outcome": "conflict", "version": 4}),
            ),
            (
                "GET",
                "/v1/configuration/status",
                json!(null),
                200,
                json!({"version": 4}),
            ),
        ],
    );
}

/// Guards against an answer that claims more than is known, and a resend that is applied twice.
#[test]
fn lost_answers_are_told_and_resends_settle_them() {
    let configuration = Configuration::new(None, Clock::system());
    let faults = [
        LogFault::Refused,
        LogFault::CommandLost,
        LogFault::AnswerLost,
        LogFault::None,
    ];
    let admin = Admin {
        host: "h1".to_owned(),
        authentication: false,
        configuration: Arc::clone(&configuration),
        log: ConfigurationLog::faulty(configuration, "h1".to_owned(), move |number| {
            faults[usize::try_from(number).unwrap()]
        }),
        clock: Clock::system(),
        sources: AdminSources {
            ready: Arc::new(|| true),
            hosts: Arc::new(Vec::new),
            applied_versions: Arc::new(Vec::new),
            fleet: Arc::new(Vec::new),
            queues: Arc::new(Vec::new),
            members: Arc::new(Vec::new),
        },
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handler = Arc::new(move |request| admin.handle(&request));
    let server = Server::start(address, ServerOptions::default(), handler).unwrap();
    let client = Client::new(ClientOptions::default());
    let body = json!({"reason": "r", "change_id": "a", "expected_version": 0, "author": "saran"});
    let expected = [
        (503, "did_not_run", json!({"code": "unavailable"}), 404),
        (
            502,
            "may_have_run",
            json!({"outcome": "unknown", "change_id": "a"}),
            404,
        ),
        (
            502,
            "may_have_run",
            json!({"outcome": "unknown", "change_id": "a"}),
            200,
        ),
        (
            200,
            "ran",
            json!({"outcome": "accepted", "version": 1}),
            200,
        ),
    ];
    for (status, verdict, reply, status_by_id) in expected {
        let path = "/v1/drains/worker:w1";
        let response = exchange(&client, server.local_address(), "PUT", path, None, &body);
        let actual: Value = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(response.status, status, "{actual}");
        assert_eq!(response.header(headers::VERDICT), Some(verdict), "{actual}");
        assert!(includes(&actual, &reply), "{actual}");
        let path = "/v1/changes/a";
        let query = exchange(
            &client,
            server.local_address(),
            "GET",
            path,
            None,
            &Value::Null,
        );
        assert_eq!(query.status, status_by_id);
    }
}

/// Guards against a caller that acts for another member, and against announcements by members.
#[test]
fn callers_and_runners_are_authenticated() {
    let host = Host::start();
    let post = |path: &str, token: Option<&str>, member: Option<&str>| {
        let url = format!("http://{}{path}", host.host.caller_address());
        let mut request = ClientRequest::new(Method::POST, url, Instant::now() + PATIENCE)
            .header(headers::SERVICE, "quotes")
            .header(headers::IDEMPOTENT, "true")
            .header(headers::TIMEOUT_MS, "50");
        if let Some(token) = token {
            request = request.header(headers::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(member) = member {
            request = request.header(headers::MEMBER, member);
        }
        host.client.send(request).expect("the host answers").status
    };
    // No runner exists: a request that is let in meets its deadline.
    let cases = [
        ("/v1/requests", None, None, 401),
        ("/v1/requests", Some("unknown"), None, 401),
        ("/v1/requests", Some("r-secret"), None, 403),
        ("/v1/requests", Some("a-secret"), None, 403),
        ("/v1/requests", Some("s-secret"), Some("lowell"), 403),
        ("/v1/requests", Some("s-secret"), Some("tuul"), 504),
        ("/v1/requests", Some("s-secret"), None, 504),
        ("/v1/announcements", None, None, 401),
        ("/v1/announcements", Some("s-secret"), None, 403),
        ("/v1/announcements", Some("a-secret"), None, 400),
    ];
    for (path, token, member, status) in cases {
        assert_eq!(
            post(path, token, member),
            status,
            "{path} {token:?} {member:?}"
        );
    }
}

/// Guards against two routes of which the second can never be reached.
#[test]
fn every_route_finds_itself() {
    let mut seen = HashSet::new();
    for route in ROUTES {
        let (found, _) = Route::find(route.method, route.path).expect("the path matches itself");
        assert_eq!((found.method, found.path), (route.method, route.path));
        assert!(
            seen.insert((route.method, route.path)),
            "{} twice",
            route.path
        );
    }
}
