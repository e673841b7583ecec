//! HTTP requests and responses whose bodies are held in memory.

use std::net::SocketAddr;

use hyper::{HeaderMap, Method};
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::headers;
use crate::verdict::{ErrorCode, RequestError};

/// A request whose body has arrived completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters. If a name occurs more than once, the last value is kept.
    pub query: IndexMap<String, String>,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
    /// Address of the client; `None` if the socket did not report it.
    pub peer_address: Option<SocketAddr>,
}

impl Request {
    /// Returns the value of a header field if it is present and consists of visible ASCII characters,
    /// spaces and tabs.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses a header field.
    ///
    /// # Errors
    ///
    /// `BadRequest` when the field is present and cannot be parsed.
    pub fn parse_header<T: std::str::FromStr>(
        &self,
        name: &str,
    ) -> Result<Option<T>, RequestError> {
        let Some(value) = self.headers.get(name) else {
            return Ok(None);
        };
        let parsed = value
            .to_str()
            .ok()
            .and_then(|text| text.trim().parse().ok());
        let invalid = || {
            RequestError::did_not_run(ErrorCode::BadRequest, format!("header {name} is not valid"))
        };
        parsed.map(Some).ok_or_else(invalid)
    }

    /// Parses a query parameter. Returns `None` if it is absent or invalid.
    pub fn query_value<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.query.get(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// `BadRequest` with the position of the syntax error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, RequestError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            RequestError::did_not_run(ErrorCode::BadRequest, format!("invalid JSON body: {error}"))
        })
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}

/// A response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in the order in which they are sent.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns a response with a plain-text body.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into().into_bytes(),
        }
        .header("content-type", "text/plain; charset=utf-8")
    }

    /// Returns a response with a binary body.
    pub fn bytes(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
        }
        .header("content-type", "application/octet-stream")
    }

    /// Returns a response with a JSON body, or with status 500 if `value` cannot be encoded.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self {
                status,
                headers: Vec::new(),
                body,
            }
            .header("content-type", "application/json"),
            Err(error) => Self::text(500, format!("cannot encode the response: {error}")),
        }
    }

    /// Returns the response for an error, with its status, the verdict header, `retry-after` if the
    /// error has one, and a JSON body.
    pub fn error(error: &RequestError, request_id: &str) -> Self {
        let body = crate::protocol::caller::ErrorBody {
            verdict: error.verdict,
            code: error.code,
            message: error.message.clone(),
            request_id: request_id.to_owned(),
            retry_after_ms: error.retry_after_ms,
        };
        let mut response = Self::json(error.http_status(), &body)
            .header(headers::VERDICT, error.verdict.to_string());
        if let Some(retry_after_ms) = error.retry_after_ms {
            response = response.header("retry-after", retry_after_ms.div_ceil(1000).to_string());
        }
        response
    }

    /// Adds a header field.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}
