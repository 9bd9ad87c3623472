//! Reads of a job's records from the key-value store.

use super::final_state::FinalState;
use super::job_api::JobApi;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Revision};
use crate::protocol::JobState;
use crate::protocol::store::Item;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::FinalRecord;
use crate::store::{StoreError, keys};

/// What the key-value store holds of a job.
pub(super) enum JobLookup {
    /// Its record: it has not ended.
    Live(Item),
    /// How it ended.
    Ended(FinalState),
    /// Nothing: it was never accepted.
    NeverAccepted,
    /// The store could not be read.
    Unavailable(RetryReason),
}

impl JobApi {
    /// Reads a job's records. A job leaves the first key only together with its entry under the
    /// second, so reading them in this order can't miss it.
    pub(super) async fn find(&self, id: &JobId) -> JobLookup {
        if let Some(final_state) = self.cached_final_state(id) {
            return JobLookup::Ended(final_state);
        }
        match self.store.get(RequestClass::Poll, &keys::job(id)).await {
            Ok(Some(item)) => return JobLookup::Live(item),
            Ok(None) => {}
            Err(error) => return JobLookup::Unavailable(error.into()),
        }
        match self.read_final_state(id).await {
            Ok(Some(final_state)) => JobLookup::Ended(final_state),
            Ok(None) => JobLookup::NeverAccepted,
            Err(error) => JobLookup::Unavailable(error.into()),
        }
    }

    /// How a job ended, if that was read before.
    pub(super) fn cached_final_state(&self, id: &JobId) -> Option<FinalState> {
        self.final_states.borrow().get(id)
    }

    /// Reads how a job ended; `None`: it has not.
    pub(super) async fn read_final_state(
        &self,
        id: &JobId,
    ) -> Result<Option<FinalState>, StoreError> {
        let key = keys::final_state(id);
        let Some(item) = self.store.get(RequestClass::Poll, &key).await? else {
            return Ok(None);
        };
        let record: FinalRecord =
            serde_json::from_value(item.value).map_err(|_| StoreError::Unreadable)?;
        tracing::debug!(job = %id, state = ?record.state, revision = %item.revision, "final state read");
        Ok(Some(self.remember_final_state(id, record, item.revision)))
    }

    /// Keeps a final state, which never changes. Only the tasks of cancelled jobs may still run.
    pub(super) fn remember_final_state(
        &self,
        id: &JobId,
        record: FinalRecord,
        revision: Revision,
    ) -> FinalState {
        let final_state = FinalState {
            record,
            revision,
            settled: record.state != JobState::Cancelled,
        };
        self.final_states.borrow_mut().put(id, final_state);
        final_state
    }

    /// How a job that has ended did so, if that can be read now.
    pub(crate) async fn final_outcome(&self, id: &JobId) -> Option<JobState> {
        match self.cached_final_state(id) {
            Some(final_state) => Some(final_state.record.state),
            None => Some(self.read_final_state(id).await.ok()??.record.state),
        }
    }
}
