//! Compares the decision that a round is complete with a simple reference model, over all orders in which
//! acknowledgements, events in the watch cache and a change of the shard's owner can arrive.

use super::{CacheView, CancellationRounds};
use crate::ids::{JobId, MemberId, Revision, ShardFence, ShardId};
use std::collections::{BTreeMap, BTreeSet};

const SHARD: ShardId = ShardId(1);
/// The fence under which `c1` owns the shard.
const FIRST_FENCE: Revision = Revision(5);
/// The later fence under which `c2` owns the shard.
const NEXT_FENCE: Revision = Revision(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The watch cache of the controller that runs the round reaches the cancellation.
    CacheReachesCancellation,
    /// That watch cache reaches the record of the shard's next owner.
    CacheReachesNextOwner,
    /// The job's last task on record in the shard is removed. The watch cache shows it once it has
    /// reached the cancellation.
    RecordRemoved,
    /// The first owner acknowledges that the tasks it placed are gone.
    FirstOwnerCleared,
    /// The next owner acknowledges that it knows of the cancellation, without clearing the shard.
    NextOwnerInformed,
    /// The next owner acknowledges that all tasks in the shard are gone.
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

/// The reference model. There is a task that the first owner placed, and one that the next owner placed if
/// it owned the shard before the cancellation.
fn all_tasks_gone(done: &BTreeSet<Step>, moved_before: bool) -> bool {
    let happened = |s| done.contains(&s);
    let all_cleared = happened(Step::NextOwnerCleared) || happened(Step::RecordRemoved);
    let first = happened(Step::FirstOwnerCleared) || all_cleared;
    let later = !moved_before || all_cleared;
    first && later
}

/// Executes the steps in this order, and returns after how many of them the round was complete.
/// `moved_before` says that the shard changed owners before the cancellation, which the watch cache may not
/// show yet.
fn count_steps_with_complete_round(order: &[Step], moved_before: bool) -> usize {
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
        shards_with_job: BTreeMap::from([(SHARD, Some(FIRST_FENCE))]),
    };
    let mut done = BTreeSet::new();
    let mut complete_count = 0;
    for step in order {
        done.insert(*step);
        match step {
            Step::CacheReachesCancellation => view.revision = view.revision.max(cancelled),
            Step::CacheReachesNextOwner => view.revision = view.revision.max(NEXT_FENCE),
            Step::RecordRemoved => {}
            Step::FirstOwnerCleared => {
                rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST_FENCE));
            }
            Step::NextOwnerInformed => rounds.on_acknowledged(round, &job, &member("c2"), vec![]),
            Step::NextOwnerCleared => {
                rounds.on_acknowledged(round, &job, &member("c2"), cleared_under(NEXT_FENCE));
            }
        }
        // Events are ordered: a watch cache at this revision has all earlier events.
        if view.revision >= NEXT_FENCE {
            view.shards_with_job
                .values_mut()
                .for_each(|f| *f = Some(NEXT_FENCE));
        }
        if done.contains(&Step::RecordRemoved) && view.revision >= cancelled {
            view.shards_with_job.clear();
        }
        if rounds.is_complete(round, &view) {
            assert!(
                all_tasks_gone(&done, moved_before),
                "{order:?}: complete too early, after {step:?}"
            );
            complete_count += 1;
        }
    }
    assert!(rounds.is_complete(round, &view), "{order:?}: incomplete");
    complete_count
}

#[test]
fn round_completes_if_and_only_if_all_tasks_are_gone() {
    let mut complete_count = 0;
    for order in interleavings(&STEPS) {
        complete_count += count_steps_with_complete_round(&order, false)
            + count_steps_with_complete_round(&order, true);
    }
    assert!(
        complete_count > 2 * interleavings(&STEPS).len(),
        "rounds are complete only after the last step: {complete_count}"
    );
}

/// Round numbers restart with each process, so an acknowledgement may be meant for another round.
#[test]
fn acknowledgement_for_an_earlier_incarnation_is_ignored() {
    let mut rounds = CancellationRounds::default();
    let job = JobId::from("job-2");
    let round = rounds.open(&job, Revision(10));
    let view = CacheView {
        revision: Revision(10),
        shards_with_job: BTreeMap::from([(SHARD, Some(FIRST_FENCE))]),
    };
    let stale = JobId::from("job-1");
    rounds.on_acknowledged(round, &stale, &member("c1"), cleared_under(FIRST_FENCE));
    assert!(!rounds.is_complete(round, &view));
    rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST_FENCE));
    assert!(rounds.is_complete(round, &view));
    rounds.close(round);
    assert!(!rounds.is_complete(round, &view));
}

/// A shard without an owner may still have machines that its last owner answers.
#[test]
fn round_with_a_shard_without_an_owner_is_not_complete() {
    let mut rounds = CancellationRounds::default();
    let job = JobId::from("job-1");
    let round = rounds.open(&job, Revision(10));
    rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST_FENCE));
    let view = CacheView {
        revision: Revision(12),
        shards_with_job: BTreeMap::from([(SHARD, None)]),
    };
    assert!(!rounds.is_complete(round, &view));
}
