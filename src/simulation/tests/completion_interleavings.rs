//! Tests every order of a job's completion, its cancellation and its repeated submission, each of
//! which arrives twice. The completion or cancellation that is committed first determines the final
//! state, and no later transaction may change that state or accept the job again.

mod dependent;

use crate::config::tests::sample_config;
use crate::ids::{JobId, MachineId, Revision, UnixTime};
use crate::planning::completion_counter::{self, CounterLayout};
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::simulation::fakes::FakeStore;
use crate::store::records::{FinalRecord, JobRecord, MachineRecord};
use crate::store::{TxnOutcome, keys};

/// A transaction that is sent to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Submission,
    Completion,
    Cancellation,
}

/// The steps of a test case. Each occurs twice, since a late duplicate of a request may arrive.
const ALL_STEPS: [Step; 6] = [
    Step::Submission,
    Step::Submission,
    Step::Completion,
    Step::Completion,
    Step::Cancellation,
    Step::Cancellation,
];

fn submission_txn(id: &JobId) -> Txn {
    let record = JobRecord::new(crate::protocol::tests::spec(id.as_str()), UnixTime(1));
    let mut txn = Txn::default();
    txn.require(keys::job(id), Revision(0));
    txn.require(keys::final_state(id), Revision(0));
    txn.put(keys::job(id), &record, None);
    txn
}

fn cancellation_txn(id: &JobId, accepted: Revision) -> Txn {
    let mut txn = Txn::default();
    txn.require(keys::job(id), accepted);
    let record = FinalRecord {
        state: JobState::Cancelled,
        tasks: 4,
    };
    txn.put(keys::final_state(id), &record, None);
    txn.delete(keys::job(id));
    txn
}

/// Stores a machine record in which all tasks of the job are done, and returns the transaction by
/// which the leader then completes the job.
fn completion_txn(store: &mut FakeStore, id: &JobId) -> Txn {
    let config = sample_config();
    let mut record = MachineRecord::new("1.1.1.1:1", &"t8".into(), &"a".into(), false);
    record.add_done(id, 0, 3);
    let mut txn = Txn::default();
    txn.put(keys::machine(&MachineId::from("vm-1")), &record, None);
    store.txn(&txn);
    let cache = store.snapshot(&config, false);
    let layout = CounterLayout::new(&config);
    completion_counter::completion_txn(id, &cache.jobs[id], &layout).expect("all tasks are done")
}

fn final_state(store: &FakeStore, id: &JobId) -> Option<JobState> {
    let record = store.read::<FinalRecord>(&keys::final_state(id))?;
    Some(record.state)
}

/// Returns all distinct orders of the remaining steps.
fn distinct_orders(remaining: &[Step]) -> Vec<Vec<Step>> {
    let mut orders = Vec::new();
    for (index, first) in remaining.iter().enumerate() {
        if remaining[..index].contains(first) {
            continue;
        }
        let mut others = remaining.to_vec();
        others.remove(index);
        if others.is_empty() {
            return vec![vec![*first]];
        }
        for mut order in distinct_orders(&others) {
            order.insert(0, *first);
            orders.push(order);
        }
    }
    orders
}

#[test]
fn final_state_is_permanent_in_every_order_of_completion_cancellation_and_resubmission() {
    let id = JobId::from("job-1");
    let orders = distinct_orders(&ALL_STEPS);
    assert_eq!(orders.len(), 90);
    for order in orders {
        let mut store = FakeStore::default();
        let TxnOutcome::Committed(accepted) = store.txn(&submission_txn(&id)) else {
            panic!("submission was not committed");
        };
        let completion = completion_txn(&mut store, &id);
        let deciding_step = order.iter().find(|s| **s != Step::Submission);
        let expected = match deciding_step {
            Some(Step::Completion) => JobState::Done,
            _ => JobState::Cancelled,
        };
        let mut previous_state = None;
        for step in &order {
            let txn = match step {
                Step::Submission => submission_txn(&id),
                Step::Completion => completion.clone(),
                Step::Cancellation => cancellation_txn(&id, accepted),
            };
            let outcome = store.txn(&txn);
            let committed = matches!(outcome, TxnOutcome::Committed(_));
            let current_state = final_state(&store, &id);
            assert!(
                previous_state.is_none() || current_state == previous_state,
                "{order:?}: final state changed"
            );
            assert_eq!(
                committed,
                previous_state.is_none() && current_state.is_some(),
                "{order:?} {step:?}"
            );
            let is_live = store.contains(&keys::job(&id));
            assert!(
                is_live != current_state.is_some(),
                "{order:?}: job and final record must not both exist or both be absent"
            );
            previous_state = current_state;
        }
        assert_eq!(previous_state, Some(expected), "{order:?}");
    }
}
