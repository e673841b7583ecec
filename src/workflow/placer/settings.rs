//! Settings of the placer.

use std::time::Duration;

use crate::ids::HostId;

/// Settings of the placer on one host.
#[derive(Clone, Debug)]
pub struct PlacerSettings {
    /// Identifier of this host.
    pub host: HostId,
    /// Duration of the lease that each renewal grants to a worker.
    pub lease: Duration,
    /// Longest lease that a worker accepts, also from an earlier placer.
    pub max_lease: Duration,
    /// Longest time between sending a call to a worker and its execution there, if the call was held
    /// on its way.
    pub late_call_limit: Duration,
    /// Time for which jobs are kept in the state after their end.
    pub retention: Duration,
    /// Number of voters of the workflow log when enough storage hosts are in contact.
    pub wanted_voters: usize,
    /// Factor by which tasks take longer away from their rack, above 1; `None` if they do not.
    pub remote_factor: Option<f64>,
}
