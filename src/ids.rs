//! Identifiers shared by all modules.

/// Name of a data centre, for example `erdenet`.
pub type DataCentreName = String;
/// Name of a region, for example `orkhon`.
pub type RegionName = String;
/// Identifier of an entry host from its settings.
pub type HostId = String;
/// Identifier of a worker, which it announces itself.
pub type WorkerId = String;
/// Identifier of a member (a customer of the cell).
pub type MemberId = String;
/// Identifier of a caller within a member.
pub type CallerId = String;
/// Name of a service whose runners execute requests.
pub type ServiceName = String;
/// Idempotency key of a request.
pub type RequestKey = String;
/// Identifier of one attempt to run a request or of one task of a job.
pub type TaskId = String;
/// Identifier of a job.
pub type JobId = String;
/// Identifier of a configuration change, chosen by the operator's client.
pub type ChangeId = String;
/// Version of the configuration; grows by one with each accepted change.
pub type ConfigVersion = u64;
/// Start number of a process; a restarted process has a larger one.
pub type Incarnation = u64;
/// Fencing token of a placer; each new placer of a data centre has a larger one.
pub type Epoch = u64;
