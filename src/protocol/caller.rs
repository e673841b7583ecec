//! Messages between callers and entry hosts.

use std::time::Instant;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, MemberId, RequestKey, ServiceName};
use crate::verdict::{ErrorCode, Verdict};

/// How soon work should start, relative to other work of the same member.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Urgency {
    /// Runs when nothing else of the member waits.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Before normal work of the member.
    High,
    /// First within the member's share.
    Urgent,
}

/// A request as the placer gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Idempotency key; the gateway makes one when the caller gave none.
    pub key: RequestKey,
    /// Member that pays for the request.
    pub member: MemberId,
    /// Caller within the member.
    pub caller: CallerId,
    /// Service whose runners execute it.
    pub service: ServiceName,
    /// Whether it may be repeated once it is certain that no attempt is running.
    pub idempotent: bool,
    /// Order within the member.
    pub urgency: Urgency,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Opaque body for the runner.
    pub payload: Vec<u8>,
}

/// The whole answer to a request that ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Body from the runner.
    pub body: Vec<u8>,
    /// Time from admission to the start of execution, in microseconds.
    pub wait_us: u64,
}

/// JSON body of an error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: ErrorCode,
    /// Explanation for people.
    pub message: String,
    /// Identifier of the request in logs; empty when it had none yet.
    pub request_id: String,
    /// Earliest sensible time for another attempt, from now.
    pub retry_after_ms: Option<u64>,
}
