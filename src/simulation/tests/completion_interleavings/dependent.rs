//! A parent's end and its cancellation, and the submission of a child that names it, in every order:
//! the submission reads first and writes later, so what it read may be old by then.

use super::*;
use crate::api::dependencies::{
    CancellationCascade, CascadeStep, CombinedDependencyState, DependencyState,
};
use crate::protocol::JobKind;

const PARENT: &str = "job-000001";
const CHILD: &str = "job-000002";
const OPS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    ReadParent,
    WriteSubmission,
    ParentEnds,
    ParentCancelled,
}

/// A parent and a child in one store.
struct Scene {
    store: FakeStore,
    parent: Revision,
    ends: Txn,
    /// What the submission has seen last.
    seen: Option<CombinedDependencyState>,
    /// The parent's user was told that it is cancelled.
    confirmed: bool,
}

impl Scene {
    fn new() -> Self {
        let mut store = FakeStore::default();
        let parent = JobId::from(PARENT);
        let TxnOutcome::Committed(revision) = store.txn(&submission(&parent)) else {
            panic!("not accepted");
        };
        let ends = completion(&mut store, &parent);
        Self {
            store,
            parent: revision,
            ends,
            seen: None,
            confirmed: false,
        }
    }

    fn read_parent(&mut self) {
        let parent = JobId::from(PARENT);
        let named = match final_state(&self.store, &parent) {
            Some(JobState::Done) => DependencyState::Done,
            Some(_) => DependencyState::Cancelled,
            None => DependencyState::Live {
                kind: JobKind::Array,
                revision: self.parent,
            },
        };
        self.seen = Some(CombinedDependencyState::of(
            &CHILD.into(),
            vec![(parent, named)],
        ));
    }

    /// Writes what was decided; where that is out of date it is decided anew.
    fn write(&mut self) {
        let mut spec = crate::protocol::tests::spec(CHILD);
        spec.dependencies = vec![PARENT.into()];
        for _ in 0..2 {
            if self.seen.is_none() {
                self.read_parent();
            }
            let seen = self.seen.take().expect("seen");
            let (txn, _) = seen
                .acceptance_txn(&spec, UnixTime(9), OPS)
                .expect("decided");
            if matches!(self.store.txn(&txn), TxnOutcome::Committed(_)) {
                return;
            }
        }
        panic!("not accepted");
    }

    /// Cancels as the API does: the job, then all its dependents, and then its user is told.
    fn cancel(&mut self) {
        let parent = JobId::from(PARENT);
        let outcome = self.store.txn(&cancellation(&parent, self.parent));
        let TxnOutcome::Committed(revision) = outcome else {
            return;
        };
        let mut cascade = CancellationCascade::new(&parent, revision);
        loop {
            let cache = self.store.snapshot(&sample_config(), false);
            match cascade.next(&cache, OPS) {
                CascadeStep::Complete => break,
                CascadeStep::Wait => panic!("the watch cache is up to date"),
                CascadeStep::Write(txn, _) => {
                    if let TxnOutcome::Committed(at) = self.store.txn(&txn) {
                        cascade.committed(at);
                    }
                }
            }
        }
        self.confirmed = true;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ReadParent => self.read_parent(),
            Event::WriteSubmission => self.write(),
            Event::ParentEnds => drop(self.store.txn(&self.ends)),
            Event::ParentCancelled => self.cancel(),
        }
    }

    /// The child's record, if it is accepted and has not ended.
    fn child(&self) -> Option<JobRecord> {
        self.store.read(&keys::job(&CHILD.into()))
    }
}

/// All orders of the events.
fn orders_of(rest: &[Event]) -> Vec<Vec<Event>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, first) in rest.iter().enumerate() {
        let mut left = rest.to_vec();
        left.remove(at);
        for mut order in orders_of(&left) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

#[test]
fn child_follows_its_parent_in_every_order_of_events() {
    let events = [
        Event::ReadParent,
        Event::WriteSubmission,
        Event::ParentEnds,
        Event::ParentCancelled,
    ];
    let (mut waited, mut cancelled) = (0, 0);
    for order in orders_of(&events) {
        let mut scene = Scene::new();
        for event in &order {
            scene.handle_event(*event);
            let done = final_state(&scene.store, &PARENT.into()) == Some(JobState::Done);
            if let Some(child) = scene.child() {
                assert!(child.is_blocked() || done, "{order:?}: too early");
                assert!(
                    !scene.confirmed,
                    "{order:?}: left behind when the user was told"
                );
                waited += u64::from(child.is_blocked());
            }
        }
        let child = final_state(&scene.store, &CHILD.into());
        match final_state(&scene.store, &PARENT.into()) {
            Some(JobState::Done) => assert!(child.is_none() && scene.child().is_some()),
            Some(JobState::Cancelled) => {
                assert_eq!(child, Some(JobState::Cancelled), "{order:?}");
                cancelled += 1;
            }
            state => panic!("{order:?}: {state:?}"),
        }
    }
    assert!(waited >= 4 && cancelled >= 8, "{waited} {cancelled}");
}
