//! The decision compared with a slow plain model, over all orders in which the others' answers,
//! the watch cache's changes and a change of shard owner can come.

use super::{CacheView, CancellationRounds};
use crate::ids::{JobId, Member, Revision, ShardId};
use crate::peers::ShardFence;
use std::collections::{BTreeMap, BTreeSet};

const SHARD: ShardId = ShardId(1);
/// The shard is leased to `c1`, and by a later record to `c2`.
const FIRST: Revision = Revision(5);
const LATER: Revision = Revision(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The asking controller's watch cache comes up to the cancellation.
    Mirror,
    /// It comes up to the shard's next shard owner.
    Moved,
    /// The job's last record in the shard goes, and the watch cache shows it when it has come so far.
    Cleared,
    /// The first shard owner has proved gone what it placed.
    First,
    /// The later shard owner knows of the cancellation, and has proved nothing yet.
    Later,
    /// The later shard owner has proved gone whatever stands there.
    Proved,
}

const STEPS: [Step; 6] = [
    Step::Mirror,
    Step::Moved,
    Step::Cleared,
    Step::First,
    Step::Later,
    Step::Proved,
];

fn cleared_under(fence: Revision) -> Vec<ShardFence> {
    vec![ShardFence {
        shard: SHARD,
        fence,
    }]
}

fn member(name: &str) -> Member {
    Member::from(name)
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

/// Plain enumeration of what is there: a task that the first shard owner placed, and one that the later
/// shard owner placed, if it held the shard before the cancellation.
fn all_gone(done: &BTreeSet<Step>, moved_before: bool) -> bool {
    let happened = |s| done.contains(&s);
    let everything = happened(Step::Proved) || happened(Step::Cleared);
    let first = happened(Step::First) || everything;
    let later = !moved_before || everything;
    first && later
}

/// `moved_before`: the shard changed hands before the cancellation, and the asking controller's
/// watch cache may not know it yet.
fn play(order: &[Step], moved_before: bool) -> usize {
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
        machines_with_job: BTreeMap::from([(SHARD, Some(FIRST))]),
    };
    let mut done = BTreeSet::new();
    let mut told = 0;
    for step in order {
        done.insert(*step);
        match step {
            Step::Mirror => view.revision = view.revision.max(cancelled),
            Step::Moved => view.revision = view.revision.max(LATER),
            Step::Cleared => {}
            Step::First => {
                rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST));
            }
            Step::Later => rounds.on_acknowledged(round, &job, &member("c2"), vec![]),
            Step::Proved => {
                rounds.on_acknowledged(round, &job, &member("c2"), cleared_under(LATER));
            }
        }
        // The stream is ordered: whoever has come so far has seen all that was before.
        if view.revision >= LATER {
            view.machines_with_job
                .values_mut()
                .for_each(|f| *f = Some(LATER));
        }
        if done.contains(&Step::Cleared) && view.revision >= cancelled {
            view.machines_with_job.clear();
        }
        if rounds.is_settled(round, &view) {
            assert!(
                all_gone(&done, moved_before),
                "{order:?} told after {step:?}"
            );
            told += 1;
        }
    }
    assert!(rounds.is_settled(round, &view), "{order:?} never told");
    told
}

#[test]
fn nobody_is_told_before_all_tasks_are_gone_and_everybody_is_in_the_end() {
    let mut told = 0;
    for order in interleavings(&STEPS) {
        told += play(&order, false) + play(&order, true);
    }
    assert!(
        told > 2 * interleavings(&STEPS).len(),
        "only at the very end: {told}"
    );
}

/// Numbers begin anew with each life of a process.
#[test]
fn an_answer_to_an_earlier_life_counts_for_nothing() {
    let mut rounds = CancellationRounds::default();
    let job = JobId::from("job-2");
    let round = rounds.open(&job, Revision(10));
    let view = CacheView {
        revision: Revision(10),
        machines_with_job: BTreeMap::from([(SHARD, Some(FIRST))]),
    };
    let stale = JobId::from("job-1");
    rounds.on_acknowledged(round, &stale, &member("c1"), cleared_under(FIRST));
    assert!(!rounds.is_settled(round, &view));
    rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST));
    assert!(rounds.is_settled(round, &view));
    rounds.close(round);
    assert!(!rounds.is_settled(round, &view));
}

/// A shard that nobody holds at present: whoever held it may still answer its machines.
#[test]
fn shard_without_an_owner_is_not_settled() {
    let mut rounds = CancellationRounds::default();
    let job = JobId::from("job-1");
    let round = rounds.open(&job, Revision(10));
    rounds.on_acknowledged(round, &job, &member("c1"), cleared_under(FIRST));
    let view = CacheView {
        revision: Revision(12),
        machines_with_job: BTreeMap::from([(SHARD, None)]),
    };
    assert!(!rounds.is_settled(round, &view));
}
