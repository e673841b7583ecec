//! Cancellations that arrive before the submission of their job.

use std::time::Duration;

use indexmap::IndexSet;

use super::super::calls::Reply;
use super::super::cancellations::is_job_name;
use super::super::customers::Access;
use super::super::instruments::instruments;
use super::super::queues::Queue;
use super::super::records::Record;
use super::Now;
use super::call_limits::BUSY_RETRY_MS;
use super::term::Term;
use crate::ids::{CustomerName, JobId};

impl Term {
    /// Keeps the cancellation of a job that is not known. The reply waits for the commit, so that no
    /// placer accepts a later submission of the job.
    pub(super) fn cancel_unknown_job(
        &mut self,
        id: JobId,
        queue: &str,
        customer: Option<CustomerName>,
        now: Now,
    ) -> Reply {
        // No submission of such a name is accepted.
        if !is_job_name(&id) {
            return Reply::NoSuchJob;
        }
        let kept = &self.state.early_cancellations;
        let is_kept = kept
            .of_job(&id)
            .any(|(canceller, _)| canceller == customer.as_ref());
        let customer_name = customer.as_deref().unwrap_or_default();
        if !is_kept && !kept.has_room(customer.as_ref()) {
            let retry_after_ms = self.room_frees_after_ms(customer.as_ref(), now);
            log::warn!(
                job = id.as_str(), queue, customer = customer_name, kept = kept.len(), retry_after_ms;
                "cancellation of an unknown job refused: too many are kept"
            );
            instruments().count_early_cancellation("refused");
            return Reply::Busy { retry_after_ms };
        }
        log::info!(
            job = id.as_str(), queue, customer = customer_name, kept = kept.len(), epoch = self.epoch;
            "cancellation of an unknown job is kept"
        );
        instruments().count_early_cancellation("kept");
        self.record(Record::UnknownJobCancelled {
            id,
            customer,
            at_unix_ms: now.unix_ms,
        });
        Reply::NoSuchJob
    }

    /// Whether a job was cancelled, by a call that could have cancelled it, before this submission.
    pub(super) fn was_cancelled_early(
        &self,
        id: &str,
        access: &Access,
        queue: &Queue,
        now: Now,
    ) -> bool {
        let (state, owner) = (&self.state, access.customer());
        let mut cancellations = state.early_cancellations.of_job(id);
        let cancellation = cancellations.find(|(canceller, _)| {
            state
                .customers
                .may_cancel(*canceller, owner, &queue.address)
        });
        let Some((_, at_unix_ms)) = cancellation else {
            return false;
        };
        log::info!(
            job = id, queue = queue.name.as_str(), cancelled_ms_ago = now.unix_ms.saturating_sub(at_unix_ms);
            "job refused: it was cancelled before it arrived"
        );
        instruments().count_early_cancellation("applied");
        true
    }

    /// Cancellations of unknown jobs whose retention is over. One by another customer than that of a
    /// job stays as long as the job, since both are forgotten by the identifier alone.
    pub(super) fn old_early_cancellations(&self, oldest_unix_ms: u64) -> IndexSet<JobId> {
        let mut old = self.state.early_cancellations.older_than(oldest_unix_ms);
        old.retain(|id| !self.state.jobs.contains_key(id));
        old
    }

    /// Returns the time after which a cancellation of the customer is forgotten.
    fn room_frees_after_ms(&self, customer: Option<&CustomerName>, now: Now) -> u64 {
        let earliest = self.state.early_cancellations.earliest_unix_ms(customer);
        let age_ms = earliest.map_or(0, |at_unix_ms| now.unix_ms.saturating_sub(at_unix_ms));
        let frees_after = self
            .settings
            .retention
            .saturating_sub(Duration::from_millis(age_ms));
        u64::try_from(frees_after.as_millis()).map_or(BUSY_RETRY_MS, |ms| ms.max(BUSY_RETRY_MS))
    }
}
