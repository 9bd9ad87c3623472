//! Tests every order of a job's completion, its cancellation and the submission of a job that
//! depends on it. The submission reads the state of the dependency first and writes later, so the
//! state may have changed in between.

use super::*;
use crate::api::dependencies::{
    CancellationCascade, CascadeStep, CombinedDependencyState, DependencyState,
};
use crate::protocol::JobKind;

/// The id of the job that the second job depends on.
const DEPENDENCY: &str = "job-000001";
/// The id of the second job.
const DEPENDENT: &str = "job-000002";
const MAX_TXN_OPS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    ReadDependency,
    WriteSubmission,
    CompleteDependency,
    CancelDependency,
}

/// A store with a job and, once it is submitted, a second job that depends on it.
struct Scenario {
    store: FakeStore,
    dependency_revision: Revision,
    completion_txn: Txn,
    /// The state of the dependency when the submission last read it; `None` if it must be read again.
    last_read_state: Option<CombinedDependencyState>,
    /// Whether the cancellation of the dependency was confirmed to its user.
    cancellation_confirmed: bool,
}

impl Scenario {
    fn new() -> Self {
        let mut store = FakeStore::default();
        let dependency = JobId::from(DEPENDENCY);
        let TxnOutcome::Committed(revision) = store.txn(&submission_txn(&dependency)) else {
            panic!("submission was not committed");
        };
        let completion = completion_txn(&mut store, &dependency);
        Self {
            store,
            dependency_revision: revision,
            completion_txn: completion,
            last_read_state: None,
            cancellation_confirmed: false,
        }
    }

    fn read_dependency(&mut self) {
        let dependency = JobId::from(DEPENDENCY);
        let dependency_state = match final_state(&self.store, &dependency) {
            Some(JobState::Done) => DependencyState::Done,
            Some(_) => DependencyState::Cancelled,
            None => DependencyState::Live {
                kind: JobKind::Array,
                revision: self.dependency_revision,
            },
        };
        self.last_read_state = Some(CombinedDependencyState::of(
            &DEPENDENT.into(),
            vec![(dependency, dependency_state)],
        ));
    }

    /// Submits the dependent job on the basis of the state read last. If that state is out of date and
    /// the transaction fails, reads the state again and retries once.
    fn submit_dependent(&mut self) {
        let mut spec = crate::protocol::tests::spec(DEPENDENT);
        spec.dependencies = vec![DEPENDENCY.into()];
        for _ in 0..2 {
            if self.last_read_state.is_none() {
                self.read_dependency();
            }
            let dependency_states = self.last_read_state.take().expect("state was read");
            let (txn, _) = dependency_states
                .acceptance_txn(&spec, UnixTime(9), MAX_TXN_OPS)
                .expect("dependency state allows acceptance");
            if matches!(self.store.txn(&txn), TxnOutcome::Committed(_)) {
                return;
            }
        }
        panic!("dependent was not accepted");
    }

    /// Cancels the dependency as the API does: cancels the job, then all its dependents, and then
    /// confirms the cancellation to the user.
    fn cancel_dependency(&mut self) {
        let dependency = JobId::from(DEPENDENCY);
        let outcome = self
            .store
            .txn(&cancellation_txn(&dependency, self.dependency_revision));
        let TxnOutcome::Committed(revision) = outcome else {
            return;
        };
        let mut cascade = CancellationCascade::new(&dependency, revision);
        loop {
            let cache = self.store.snapshot(&sample_config(), false);
            match cascade.next(&cache, MAX_TXN_OPS) {
                CascadeStep::Complete => break,
                CascadeStep::Wait => panic!("the watch cache is up to date"),
                CascadeStep::Write(txn, _) => {
                    if let TxnOutcome::Committed(cascade_revision) = self.store.txn(&txn) {
                        cascade.committed(cascade_revision);
                    }
                }
            }
        }
        self.cancellation_confirmed = true;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ReadDependency => self.read_dependency(),
            Event::WriteSubmission => self.submit_dependent(),
            Event::CompleteDependency => drop(self.store.txn(&self.completion_txn)),
            Event::CancelDependency => self.cancel_dependency(),
        }
    }

    /// Returns the record of the dependent job if it was accepted and has not ended.
    fn live_dependent(&self) -> Option<JobRecord> {
        self.store.read(&keys::job(&DEPENDENT.into()))
    }
}

/// Returns all permutations of the remaining events.
fn permutations(remaining: &[Event]) -> Vec<Vec<Event>> {
    if remaining.is_empty() {
        return vec![Vec::new()];
    }
    let mut orders = Vec::new();
    for (index, first) in remaining.iter().enumerate() {
        let mut others = remaining.to_vec();
        others.remove(index);
        for mut order in permutations(&others) {
            order.insert(0, *first);
            orders.push(order);
        }
    }
    orders
}

#[test]
fn dependent_waits_for_its_dependency_and_is_cancelled_with_it_in_every_order() {
    let events = [
        Event::ReadDependency,
        Event::WriteSubmission,
        Event::CompleteDependency,
        Event::CancelDependency,
    ];
    let (mut blocked_count, mut cancelled_count) = (0, 0);
    for order in permutations(&events) {
        let mut scenario = Scenario::new();
        for event in &order {
            scenario.handle_event(*event);
            let dependency_done =
                final_state(&scenario.store, &DEPENDENCY.into()) == Some(JobState::Done);
            if let Some(dependent) = scenario.live_dependent() {
                assert!(
                    dependent.is_blocked() || dependency_done,
                    "{order:?}: dependent released before its dependency was done"
                );
                assert!(
                    !scenario.cancellation_confirmed,
                    "{order:?}: dependent still live after the cancellation was confirmed"
                );
                blocked_count += u64::from(dependent.is_blocked());
            }
        }
        let dependent_state = final_state(&scenario.store, &DEPENDENT.into());
        match final_state(&scenario.store, &DEPENDENCY.into()) {
            Some(JobState::Done) => {
                assert!(dependent_state.is_none() && scenario.live_dependent().is_some())
            }
            Some(JobState::Cancelled) => {
                assert_eq!(dependent_state, Some(JobState::Cancelled), "{order:?}");
                cancelled_count += 1;
            }
            state => panic!("{order:?}: {state:?}"),
        }
    }
    assert!(
        blocked_count >= 4 && cancelled_count >= 8,
        "{blocked_count} {cancelled_count}"
    );
}
