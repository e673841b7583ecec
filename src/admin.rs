//! Administration interface: HTTP with JSON bodies on a separate listener.

pub mod changes;
pub mod reads;
pub mod replicas;
pub mod routes;
pub mod sources;
pub mod validation;

use std::sync::Arc;
use std::time::SystemTime;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::configuration::change::Role;
use crate::configuration::identity::{Identity, holds_settings_token, require_role};
use crate::configuration::log::ConfigurationLog;
use crate::http::{Request, Response};
use crate::ids::HostId;
use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError};
use routes::{Access, Route};
use sources::AdminSources;

/// Request handler of the administration interface of one entry host.
pub struct Admin {
    /// Identifier of this host.
    pub host: HostId,
    /// Whether operators must present a token.
    pub authentication: bool,
    /// The configuration that this host has applied.
    pub configuration: Arc<Configuration>,
    /// Log to which changes are proposed.
    pub log: ConfigurationLog,
    /// Source of the wall-clock time of changes.
    pub clock: Clock,
    /// Readers of the state of other parts of the entry host.
    pub sources: AdminSources,
}

/// A routed request whose sender is authenticated.
pub struct Call<'a> {
    /// The HTTP request.
    pub request: &'a Request,
    /// Holder of the request's token; `None` while authentication is off, and on routes that
    /// require no token.
    pub identity: Option<Identity>,
    /// Decoded variable parts of the path, in order.
    pub arguments: Vec<String>,
}

impl Admin {
    /// Handles one HTTP request; errors become error responses.
    pub fn handle(&self, request: &Request) -> Response {
        self.dispatch(request)
            .unwrap_or_else(|error| Response::error(&error, ""))
    }

    fn dispatch(&self, request: &Request) -> Result<Response, RequestError> {
        let found = Route::find(request.method.as_str(), &request.path);
        let access = found
            .as_ref()
            .map_or(Access::Anyone, |(route, _)| route.access);
        let mut identity = None;
        if let (Access::Role(role), true) = (access, self.authentication) {
            identity = Some(self.authorize(request, role)?);
        }
        let Some((route, arguments)) = found else {
            let message = format!(
                "no {} {}; docs/api.md lists the calls",
                request.method, request.path
            );
            return Err(RequestError::did_not_run(ErrorCode::NotFound, message));
        };
        if let Some(unknown) = unknown_parameter(&request.query, route.query) {
            return Err(bad_request(format!("unknown query parameter {unknown}")));
        }
        let call = Call {
            request,
            identity,
            arguments,
        };
        (route.handler)(self, &call)
    }

    /// Returns the holder of the request's token. Until the host has received the configuration
    /// after its start, only the token of the settings is accepted.
    fn authorize(&self, request: &Request, role: Role) -> Result<Identity, RequestError> {
        let header = request.header(headers::AUTHORIZATION);
        let snapshot = self.configuration.read();
        if holds_settings_token(&snapshot, header) || (self.sources.configured)() {
            return require_role(&snapshot, header, role);
        }
        let message = "the host has not received the configuration of the cell since its start";
        Err(RequestError::did_not_run(ErrorCode::Unavailable, message))
    }

    /// Returns the wall-clock time; zero before the Unix epoch.
    fn now_unix_ms(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

impl Call<'_> {
    /// Returns the variable part of the path at `index`; empty when the route has no such part.
    fn argument(&self, index: usize) -> String {
        self.arguments.get(index).cloned().unwrap_or_default()
    }

    /// Parses a query parameter; an empty parameter counts as absent.
    fn query<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, RequestError> {
        let Some(text) = self.request.query.get(name).filter(|text| !text.is_empty()) else {
            return Ok(None);
        };
        let parsed = text.parse().map(Some);
        parsed.map_err(|_| bad_request(format!("query parameter {name} is not valid: {text:?}")))
    }
}

fn unknown_parameter<'a>(query: &'a IndexMap<String, String>, known: &[&str]) -> Option<&'a str> {
    let mut names = query.keys().map(String::as_str);
    names.find(|name| !known.contains(name))
}

fn bad_request(message: impl Into<String>) -> RequestError {
    RequestError::did_not_run(ErrorCode::BadRequest, message)
}

/// Deserializes the fields of a body; types with `deny_unknown_fields` reject unknown fields.
fn parse_fields<T: DeserializeOwned>(
    body: serde_json::Map<String, Value>,
) -> Result<T, RequestError> {
    serde_json::from_value(Value::Object(body))
        .map_err(|error| bad_request(format!("invalid body: {error}")))
}
