//! A parent's end and its cancellation, and the submission of a child that names it, in every order:
//! the submission reads first and writes later, so what it read may be old by then.

use super::*;
use crate::api::dependencies::{
    CancellationCascade, CascadeStep, CombinedDependencyState, DependencyState,
};
use crate::protocol::JobKind;

const DEPENDENCY: &str = "job-000001";
const DEPENDENT: &str = "job-000002";
const MAX_TXN_OPS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    ReadDependency,
    WriteSubmission,
    CompleteDependency,
    CancelDependency,
}

/// A parent and a child in one store.
struct Scenario {
    store: FakeStore,
    dependency_revision: Revision,
    completion_txn: Txn,
    /// What the submission has seen last.
    last_read_state: Option<CombinedDependencyState>,
    /// The parent's user was told that it is cancelled.
    cancellation_confirmed: bool,
}

impl Scenario {
    fn new() -> Self {
        let mut store = FakeStore::default();
        let dependency = JobId::from(DEPENDENCY);
        let TxnOutcome::Committed(revision) = store.txn(&submission_txn(&dependency)) else {
            panic!("not accepted");
        };
        let completion_txn = completion_txn(&mut store, &dependency);
        Self {
            store,
            dependency_revision: revision,
            completion_txn,
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

    /// Writes what was decided; where that is out of date it is decided anew.
    fn submit_dependent(&mut self) {
        let mut spec = crate::protocol::tests::spec(DEPENDENT);
        spec.dependencies = vec![DEPENDENCY.into()];
        for _ in 0..2 {
            if self.last_read_state.is_none() {
                self.read_dependency();
            }
            let dependency_states = self.last_read_state.take().expect("seen");
            let (txn, _) = dependency_states
                .acceptance_txn(&spec, UnixTime(9), MAX_TXN_OPS)
                .expect("decided");
            if matches!(self.store.txn(&txn), TxnOutcome::Committed(_)) {
                return;
            }
        }
        panic!("not accepted");
    }

    /// Cancels as the API does: the job, then all its dependents, and then its user is told.
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

    /// The child's record, if it is accepted and has not ended.
    fn live_dependent(&self) -> Option<JobRecord> {
        self.store.read(&keys::job(&DEPENDENT.into()))
    }
}

/// All orders of the events.
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
                    "{order:?}: too early"
                );
                assert!(
                    !scenario.cancellation_confirmed,
                    "{order:?}: left behind when the user was told"
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
