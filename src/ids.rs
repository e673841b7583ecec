//! Types of the identifiers and numbers that several modules share.

/// Name of a data centre, for example `erdenet`.
pub type DataCentreName = String;
/// Name of a region, for example `orkhon`.
pub type RegionName = String;
/// Identifier of an entry host, set in its settings.
pub type HostId = String;
/// Identifier of a worker, chosen by the worker and sent in its announcements.
pub type WorkerId = String;
/// Identifier of a member: a customer of the cell.
pub type MemberId = String;
/// Name of a customer of a cell with workflows.
pub type CustomerName = String;
/// Key by which the callers of a customer identify themselves.
pub type CallerKey = String;
/// Identifier of a caller within a member.
pub type CallerId = String;
/// Name of a service whose runners execute requests.
pub type ServiceName = String;
/// Idempotency key of a request, which also determines its home data centre.
pub type RequestKey = String;
/// Identifier of one attempt to run a request or of one task of a job.
pub type TaskId = String;
/// Identifier of a job, which has the form of an idempotency key.
pub type JobId = String;
/// Identifier of a configuration change, chosen by the operator's client.
pub type ChangeId = String;
/// Version of the configuration, which increases by one with each accepted change.
pub type ConfigVersion = u64;
/// Start number of a process. A restarted process has a larger number.
pub type Incarnation = u64;
/// Number of the earlier incarnations of a worker that a placer has seen in its term.
pub type Generation = u32;
/// Fencing token of a placer. Each new placer of a data centre has a larger epoch.
pub type Epoch = u64;
