//! Route table of the administration interface.

use percent_encoding::percent_decode_str;

use super::{Admin, Call, changes, reads, replicas};
use crate::configuration::change::Role;
use crate::http::Response;
use crate::verdict::RequestError;

/// Authorization that a call requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// The call requires no token.
    Anyone,
    /// The call requires a token with this role while authentication is on.
    Role(Role),
}

/// Handles a call; an error becomes an error response.
pub type Handler = fn(&Admin, &Call<'_>) -> Result<Response, RequestError>;

/// A call of the administration interface.
pub struct Route {
    /// HTTP method in upper case.
    pub method: &'static str,
    /// Path pattern; parts in braces are variable and not empty.
    pub path: &'static str,
    /// Allowed query parameters; requests with others are rejected.
    pub query: &'static [&'static str],
    /// Authorization that the call requires.
    pub access: Access,
    /// Handles the call.
    pub handler: Handler,
}

const fn public(path: &'static str, handler: Handler) -> Route {
    Route {
        method: "GET",
        path,
        query: &[],
        access: Access::Anyone,
        handler,
    }
}

const fn read(path: &'static str, query: &'static [&'static str], handler: Handler) -> Route {
    Route {
        method: "GET",
        path,
        query,
        access: Access::Role(Role::Read),
        handler,
    }
}

const fn change(method: &'static str, path: &'static str, handler: Handler) -> Route {
    Route {
        method,
        path,
        query: &[],
        access: Access::Role(Role::Operate),
        handler,
    }
}

/// All calls; the first route that matches a request handles it.
pub static ROUTES: &[Route] = &[
    public("/live", reads::live),
    public("/ready", reads::ready),
    read("/metrics", &[], reads::metrics),
    read("/v1/defaults", &[], reads::defaults),
    change("PUT", "/v1/defaults/{figure}", changes::set_default),
    read(
        "/v1/exceptions",
        &["figure", "scope", "state"],
        reads::exceptions,
    ),
    change("POST", "/v1/exceptions", changes::add_exception),
    read(
        "/v1/exceptions/explain",
        &["figure", "member", "caller", "service", "worker"],
        reads::explain,
    ),
    change(
        "POST",
        "/v1/exceptions/{exception}/expire",
        changes::expire_exception,
    ),
    change(
        "POST",
        "/v1/exceptions/{exception}/challenge",
        changes::challenge_exception,
    ),
    read("/v1/teams", &[], reads::teams),
    change("PUT", "/v1/teams/{member}", changes::set_team),
    change("POST", "/v1/teams/{member}/remove", changes::remove_team),
    read("/v1/tokens", &[], reads::tokens),
    change("POST", "/v1/tokens", changes::add_token),
    change("POST", "/v1/tokens/{token}/revoke", changes::revoke_token),
    read("/v1/drains", &[], reads::drains),
    change("PUT", "/v1/drains/{target}", changes::drain),
    change("POST", "/v1/drains/{target}/undrain", changes::undrain),
    read(
        "/v1/audit",
        &["author", "kind", "since_unix_ms", "until_unix_ms", "limit"],
        reads::audit,
    ),
    read("/v1/audit/verify", &[], reads::verify_audit),
    read("/v1/changes/{change_id}", &[], changes::status),
    read("/v1/configuration/status", &[], reads::status),
    read("/v1/replicas", &[], replicas::list),
    change("POST", "/v1/replicas/{host}/add", replicas::add),
    change("POST", "/v1/replicas/{host}/promote", replicas::promote),
    change("POST", "/v1/replicas/{host}/remove", replicas::remove),
    change("POST", "/v1/replicas/{host}/replace", replicas::replace),
    read("/v1/hosts", &[], reads::hosts),
    read("/v1/fleet", &[], reads::fleet),
    read("/v1/queue", &[], reads::queue),
    read("/v1/members", &[], reads::members),
];

impl Route {
    /// Returns the route of a request and the decoded variable parts of its path.
    pub fn find(method: &str, path: &str) -> Option<(&'static Self, Vec<String>)> {
        for route in ROUTES {
            if route.method != method {
                continue;
            }
            if let Some(arguments) = match_path(route.path, path) {
                return Some((route, arguments));
            }
        }
        None
    }
}

/// Returns the decoded variable parts of the path, or `None` when the path does not match.
fn match_path(pattern: &str, path: &str) -> Option<Vec<String>> {
    let mut arguments = Vec::new();
    let mut parts = path.strip_prefix('/')?.split('/');
    for expected in pattern.strip_prefix('/')?.split('/') {
        let part = parts.next()?;
        if expected.starts_with('{') {
            let decoded = percent_decode_str(part).decode_utf8().ok()?;
            if decoded.is_empty() {
                return None;
            }
            arguments.push(decoded.into_owned());
        } else if expected != part {
            return None;
        }
    }
    parts.next().is_none().then_some(arguments)
}
