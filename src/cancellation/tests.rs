//! The decision compared with a slow plain model, over all orders in which the others' answers,
//! the watch cache's changes and a change of shard owner can come.

use super::{CacheView, CancellationRounds};
use crate::ids::{JobId, MemberId, Revision, ShardFence, ShardId};
use std::collections::{BTreeMap, BTreeSet};

const SHARD: ShardId = ShardId(1);
/// The shard is owned by `c1`, and by a later record by `c2`.
const FIRST: Revision = Revision(5);
const LATER: Revision = Revision(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The asking controller's watch cache reaches the cancellation.
    CacheReachesCancellation,
    /// It reaches the shard's next owner.
    CacheReachesNextOwner,
    /// The job's last record in the shard is removed; the watch cache shows it once it gets there.
    RecordRemoved,
    /// The first owner has proved gone what it placed.
    FirstOwnerCleared,
    /// The next owner knows of the cancellation, and has proved nothing yet.
    NextOwnerInformed,
    /// The next owner has proved gone whatever is placed there.
    NextOwnerCleared,
}

const STEPS: [Step; 6] = [
    Step::CacheReachesCancellation,
    Step::CacheReachesNextOwner,
    Step::RecordRemoved,
    Step::FirstOwnerCleared,
    Step::NextOwnerInformed,
    Step::NextOwnerCleared,
];

fn cleared_under(fence: Revision) -> Vec<ShardFence> {
    vec![ShardFence {
        shard: SHARD,
        fence,
    }]
}

fn member(name: &str) -> MemberId {
    MemberId::from(name)
}

fn interleavings(rest: &[Step]) -> Vec<Vec<Step>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, first) in rest.iter().enumerate() {
        let mut left = rest.to_vec();
        left.remove(at);
        for mut order in interleavings(&left) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

/// Plain enumeration of what is there: a task that the first owner placed, and one that the next owner
/// placed, if it owned the shard before the cancellation.
fn all_gone(done: &BTreeSet<Step>, moved_before: bool) -> bool {
    let happened = |s| done.contains(&s);
    let everything = happened(Step::NextOwnerCleared) || happened(Step::RecordRemoved);
    let first = happened(Step::FirstOwnerCleared) || everything;
    let later = !moved_before || everything;
    first && later
}

/// Takes the steps in this order; returns after how many of them the round was settled.
/// `moved_before`: the shard changed owners before the cancellation, and the asking controller's
/// watch cache may not know it yet.
fn count_settled_steps(order: &[Step], moved_before: bool) -> usize {
    let cancelled = if moved_before {
        Revision(30)
    } else {
        Revision(10)
    };
    let job = JobId::from("job-1");
    let mut rounds = CancellationRounds::default();
    let round = rounds.open(&job, cancelled);
    let mut view = CacheView {
        revision: Revision(9),
        shards_with_job: BTreeMap::from([(SHARD, Some(FIRST))]),
    };
    let mut done = BTreeSet::new();
    let mut settled = 0;
    for step in order {
        done.insert(*step);
        match step {
            Step::CacheReachesCancellation => view.revision = view.revision.max(cancelled),
            Step::CacheReachesNextOwner => view.revision = view.revision.max(LATER),
            Step::RecordRemoved => {}
            Step::FirstOwnerCleared => {
                rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST));
            }
            Step::NextOwnerInformed => rounds.on_acknowledged(round, &job, &member("c2"), vec![]),
            Step::NextOwnerCleared => {
                rounds.on_acknowledged(round, &job, &member("c2"), cleared_under(LATER));
            }
        }
        // The stream is ordered: whoever has come so far has seen all that was before.
        if view.revision >= LATER {
            view.shards_with_job
                .values_mut()
                .for_each(|f| *f = Some(LATER));
        }
        if done.contains(&Step::RecordRemoved) && view.revision >= cancelled {
            view.shards_with_job.clear();
        }
        if rounds.is_complete(round, &view) {
            assert!(
                all_gone(&done, moved_before),
                "{order:?} settled after {step:?}"
            );
            settled += 1;
        }
    }
    assert!(rounds.is_complete(round, &view), "{order:?} never settled");
    settled
}

#[test]
fn round_settles_only_once_all_tasks_are_gone_and_always_does() {
    let mut settled = 0;
    for order in interleavings(&STEPS) {
        settled += count_settled_steps(&order, false) + count_settled_steps(&order, true);
    }
    assert!(
        settled > 2 * interleavings(&STEPS).len(),
        "only at the very end: {settled}"
    );
}

/// Round numbers start again with each process.
#[test]
fn answer_to_an_earlier_incarnation_is_ignored() {
    let mut rounds = CancellationRounds::default();
    let job = JobId::from("job-2");
    let round = rounds.open(&job, Revision(10));
    let view = CacheView {
        revision: Revision(10),
        shards_with_job: BTreeMap::from([(SHARD, Some(FIRST))]),
    };
    let stale = JobId::from("job-1");
    rounds.on_acknowledged(round, &stale, &member("c1"), cleared_under(FIRST));
    assert!(!rounds.is_complete(round, &view));
    rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST));
    assert!(rounds.is_complete(round, &view));
    rounds.close(round);
    assert!(!rounds.is_complete(round, &view));
}

/// A shard that nobody owns at present: whoever owned it may still answer its machines.
#[test]
fn shard_without_an_owner_is_not_settled() {
    let mut rounds = CancellationRounds::default();
    let job = JobId::from("job-1");
    let round = rounds.open(&job, Revision(10));
    rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST));
    let view = CacheView {
        revision: Revision(12),
        shards_with_job: BTreeMap::from([(SHARD, None)]),
    };
    assert!(!rounds.is_complete(round, &view));
}
