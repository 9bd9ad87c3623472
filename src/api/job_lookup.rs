//! Lookups of jobs that the watch cache does not show, or no longer shows.

use super::final_state::{FinalState, FinalStateRead};
use super::job_api::JobApi;
use super::retries::retry_refused;
use super::retry_reason::RetryReason;
use crate::ids::{JobId, Revision};
use crate::protocol::JobState;
use crate::protocol::store::KeyValue;
use crate::store::records::FinalRecord;
use crate::store::{StoreError, keys};

/// The state of a job in the key-value store.
pub(super) enum JobLookup {
    /// The job has not ended; this is its record.
    Live(KeyValue),
    /// The job has ended with this final state.
    Ended(FinalState),
    /// No record exists: the job was never accepted.
    NeverAccepted,
}

impl JobApi {
    /// Looks up a job in the store. It reads the live record first: that record is deleted only by
    /// the transaction that writes the final state, so this order can't miss a job.
    pub(super) async fn find(&self, id: &JobId) -> Result<JobLookup, RetryReason> {
        if let Some(final_state) = self.cached_final_state(id) {
            return Ok(JobLookup::Ended(final_state));
        }
        if let Some(item) = self.read_live(id).await? {
            return Ok(JobLookup::Live(item));
        }
        Ok(match self.final_states.read(id).await? {
            FinalStateRead::Ended(final_state) => JobLookup::Ended(final_state),
            FinalStateRead::NotEnded { .. } => JobLookup::NeverAccepted,
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

    /// Returns a job's final state if it is cached.
    pub(super) fn cached_final_state(&self, id: &JobId) -> Option<FinalState> {
        self.final_states.cached(id)
    }

    /// Caches a final state that this controller has written.
    pub(super) fn cache_final_state(
        &self,
        id: &JobId,
        record: FinalRecord,
        revision: Revision,
    ) -> FinalState {
        self.final_states.cache_final_state(id, record, revision)
    }

    /// Returns the state in which a job ended, or `None` if no final state is stored (the job is live or
    /// was never accepted) or it can't be read now.
    pub(crate) async fn final_job_state(&self, id: &JobId) -> Option<JobState> {
        match self.final_states.read(id).await.ok()? {
            FinalStateRead::Ended(final_state) => Some(final_state.record.state),
            FinalStateRead::NotEnded { .. } => None,
        }
    }
}
