//! Lookups of jobs that are not in the watch cache, or that have left it.

use super::final_state::FinalState;
use super::job_api::JobApi;
use super::retries::retry_refused;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Revision};
use crate::protocol::JobState;
use crate::protocol::store::KeyValue;
use crate::store::records::FinalRecord;
use crate::store::{StoreError, keys};

/// What the key-value store holds of a job.
pub(super) enum JobLookup {
    /// Its record: it has not ended.
    Live(KeyValue),
    /// How it ended.
    Ended(FinalState),
    /// Nothing: it was never accepted.
    NeverAccepted,
}

impl JobApi {
    /// Reads a job's records. A job leaves the first key only together with its entry under the
    /// second, so reading them in this order can't miss it.
    pub(super) async fn find(&self, id: &JobId) -> Result<JobLookup, RetryReason> {
        if let Some(final_state) = self.cached_final_state(id) {
            return Ok(JobLookup::Ended(final_state));
        }
        if let Some(item) = self.read_live(id).await? {
            return Ok(JobLookup::Live(item));
        }
        Ok(match self.final_states.read(id).await? {
            Some(final_state) => JobLookup::Ended(final_state),
            None => JobLookup::NeverAccepted,
        })
    }

    /// Reads a live job's record.
    pub(super) async fn read_live(&self, id: &JobId) -> Result<Option<KeyValue>, StoreError> {
        let key = keys::job(id);
        retry_refused(
            &self.store,
            async |class| self.store.get(class, &key).await,
            |result| matches!(result, Err(StoreError::HeldBack | StoreError::Refused)),
        )
        .await
    }

    /// How a job ended, if that was read before.
    pub(super) fn cached_final_state(&self, id: &JobId) -> Option<FinalState> {
        self.final_states.cached(id)
    }

    /// Keeps a final state that this controller has written.
    pub(super) fn remember_final_state(
        &self,
        id: &JobId,
        record: FinalRecord,
        revision: Revision,
    ) -> FinalState {
        self.final_states.remember(id, record, revision)
    }

    /// How a job that has ended did so, if that can be read now.
    pub(crate) async fn final_job_state(&self, id: &JobId) -> Option<JobState> {
        let final_state = self.final_states.read(id).await.ok()??;
        Some(final_state.record.state)
    }
}
