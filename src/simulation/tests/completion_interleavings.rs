//! The last task's end, a cancellation, repeated submissions and late copies of each, in every order:
//! what is committed first decides permanently, and each outcome is one that the records allow.

mod dependent;

use crate::config::tests::sample_config;
use crate::ids::{JobId, MachineId, Revision, UnixTime};
use crate::planning::completion_counter::{self, CounterLayout};
use crate::protocol::JobState;
use crate::protocol::store::Txn;
use crate::simulation::fakes::FakeStore;
use crate::store::records::{FinalRecord, JobRecord, MachineRecord};
use crate::store::{TxnOutcome, keys};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Submitted,
    Ended,
    Cancelled,
}

const ALL: [Step; 6] = [
    Step::Submitted,
    Step::Submitted,
    Step::Ended,
    Step::Ended,
    Step::Cancelled,
    Step::Cancelled,
];

fn submission(id: &JobId) -> Txn {
    let record = JobRecord::new(crate::protocol::tests::spec(id.as_str()), UnixTime(1));
    let mut txn = Txn::default();
    txn.require(keys::job(id), Revision(0));
    txn.require(keys::final_state(id), Revision(0));
    txn.put(keys::job(id), &record, None);
    txn
}

fn cancellation(id: &JobId, accepted: Revision) -> Txn {
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

/// The end as the leader writes it, once a machine's record says that all tasks are done.
fn completion(store: &mut FakeStore, id: &JobId) -> Txn {
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

/// All different orders of the steps.
fn distinct_orders(rest: &[Step]) -> Vec<Vec<Step>> {
    let mut all = Vec::new();
    for (at, first) in rest.iter().enumerate() {
        if rest[..at].contains(first) {
            continue;
        }
        let mut left = rest.to_vec();
        left.remove(at);
        if left.is_empty() {
            return vec![vec![*first]];
        }
        for mut order in distinct_orders(&left) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

#[test]
fn final_state_is_permanent_in_every_order_of_end_cancel_and_resubmit() {
    let id = JobId::from("job-1");
    let orders = distinct_orders(&ALL);
    assert_eq!(orders.len(), 90);
    for order in orders {
        let mut store = FakeStore::default();
        let TxnOutcome::Committed(accepted) = store.txn(&submission(&id)) else {
            panic!("not accepted");
        };
        let ended = completion(&mut store, &id);
        let first = order.iter().find(|s| **s != Step::Submitted);
        let expected = match first {
            Some(Step::Ended) => JobState::Done,
            _ => JobState::Cancelled,
        };
        let mut seen = None;
        for step in &order {
            let txn = match step {
                Step::Submitted => submission(&id),
                Step::Ended => ended.clone(),
                Step::Cancelled => cancellation(&id, accepted),
            };
            let outcome = store.txn(&txn);
            let done = matches!(outcome, TxnOutcome::Committed(_));
            let now = final_state(&store, &id);
            assert!(seen.is_none() || now == seen, "{order:?} went back");
            assert_eq!(done, seen.is_none() && now.is_some(), "{order:?} {step:?}");
            let live = store.contains(&keys::job(&id));
            assert!(live != now.is_some(), "{order:?}: neither or both");
            seen = now;
        }
        assert_eq!(seen, Some(expected), "{order:?}");
    }
}
