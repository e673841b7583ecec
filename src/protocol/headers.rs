//! Names of HTTP header fields, in lower case.

/// Bearer token of a caller, worker or operator.
pub const AUTHORIZATION: &str = "authorization";
/// Idempotency key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Verdict of a response: whether the request ran.
pub const VERDICT: &str = "jujubewinch-verdict";
/// Identifier of a request in logs.
pub const REQUEST_ID: &str = "jujubewinch-request-id";
/// Service that executes the request.
pub const SERVICE: &str = "jujubewinch-service";
/// Whether the request may be retried without harm: `true` or `false`.
pub const IDEMPOTENT: &str = "jujubewinch-idempotent";
/// Urgency: `low`, `normal`, `high` or `urgent`.
pub const URGENCY: &str = "jujubewinch-urgency";
/// Time until the deadline of the request, in milliseconds.
pub const TIMEOUT_MS: &str = "jujubewinch-timeout-ms";
/// Caller within the member.
pub const CALLER: &str = "jujubewinch-caller";
/// Member on whose behalf a request is submitted; has to match the token if authentication is on.
pub const MEMBER: &str = "jujubewinch-member";
/// Data centre of the entry host that answered.
pub const DATA_CENTRE: &str = "jujubewinch-data-centre";
/// Time from admission to the start of execution, in microseconds.
pub const WAIT_US: &str = "jujubewinch-wait-us";
/// Epoch of the placer, used as a fencing token.
pub const EPOCH: &str = "jujubewinch-epoch";
/// Remaining lease of a task, in milliseconds.
pub const LEASE_MS: &str = "jujubewinch-lease-ms";
/// Incarnation of the worker for which a task is meant.
pub const INCARNATION: &str = "jujubewinch-incarnation";
/// Resources of a task as JSON.
pub const RESOURCES: &str = "jujubewinch-resources";
/// State of a task on its worker, as a `TaskState`.
pub const TASK_STATE: &str = "jujubewinch-task-state";
/// CRC-32 of the body of an answer, in decimal.
pub const ANSWER_CRC32: &str = "jujubewinch-answer-crc32";
