//! The decision compared with a slow plain model, over all orders in which the others' answers,
//! the mirror's changes and a change of holder can come.

use super::{Rounds, View};
use crate::ids::{BlockId, JobId, Member, Revision};
use std::collections::{BTreeMap, BTreeSet};

const CANCELLED: Revision = Revision(10);
const BLOCK: BlockId = BlockId(1);
/// The block is leased to `c1`, and by a later record to `c2`.
const FIRST: Revision = Revision(5);
const LATER: Revision = Revision(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// The asking controller's mirror comes up to the cancellation.
    Mirror,
    /// Its mirror shows the block with its next holder.
    Moved,
    /// The job's last record in the block goes.
    Gone,
    /// The leader knows: `c0`, which asks, knows from the start and leads in half of the cases.
    Leader,
    /// The first holder knows, and nobody before it can reach its machines.
    First,
    /// The later holder knows, and has not yet been seen by the machines.
    Later,
    /// The later holder knows, and its machines have seen its token.
    Raised,
}

const STEPS: [Step; 7] = [
    Step::Mirror,
    Step::Moved,
    Step::Gone,
    Step::Leader,
    Step::First,
    Step::Later,
    Step::Raised,
];

/// What has happened, and whether anybody who could keep or start a task does not know: by plain
/// enumeration of who that can be.
#[derive(Default)]
struct Model {
    done: BTreeSet<Step>,
}

impl Model {
    fn knows(&self, member: &str) -> bool {
        let happened = |s| self.done.contains(&s);
        match member {
            "c0" => true,
            "c1" => happened(Step::First),
            "c2" => happened(Step::Later) || happened(Step::Raised),
            _ => happened(Step::Leader),
        }
    }

    /// Everybody who can answer a machine of the block with a token that it accepts.
    fn keepers(&self) -> Vec<&'static str> {
        let happened = |s| self.done.contains(&s);
        let moved = happened(Step::Moved) || happened(Step::Later);
        match (moved, happened(Step::Raised)) {
            _ if happened(Step::Gone) && happened(Step::Mirror) => vec![],
            (_, true) => vec!["c2"],
            // Both may: the machines have not seen the later token yet.
            (true, false) => vec!["c1", "c2"],
            (false, false) => vec!["c1"],
        }
    }

    fn safe(&self) -> bool {
        self.keepers().into_iter().all(|m| self.knows(m))
    }
}

fn member(name: &str) -> Member {
    Member::from(name)
}

fn orders(rest: &[Step]) -> Vec<Vec<Step>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, first) in rest.iter().enumerate() {
        let mut left = rest.to_vec();
        left.remove(at);
        for mut order in orders(&left) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

#[test]
fn nobody_is_told_while_somebody_who_does_not_know_could_keep_a_task_alive() {
    let all: BTreeSet<Member> = ["c0", "c1", "c2", "c3"].map(member).into();
    let job = JobId::from("job-1");
    let mut told_before_all_know = 0;
    for order in orders(&STEPS) {
        let mut rounds = Rounds::default();
        let round = rounds.open(&job, CANCELLED);
        rounds.on_known(round, &job, &member("c0"), vec![]);
        let mut view = View {
            revision: Revision(9),
            leader: Some(member("c3")),
            carriers: BTreeMap::from([(BLOCK, Some(FIRST))]),
        };
        let mut model = Model::default();
        for step in &order {
            model.done.insert(*step);
            match step {
                Step::Mirror => view.revision = view.revision.max(CANCELLED),
                Step::Moved => {
                    view.revision = LATER;
                    view.carriers.values_mut().for_each(|f| *f = Some(LATER));
                    model.done.insert(Step::Mirror);
                }
                // Only a mirror that has come so far shows it.
                Step::Gone => {}
                Step::Leader => rounds.on_known(round, &job, &member("c3"), vec![]),
                Step::First => {
                    rounds.on_known(round, &job, &member("c1"), vec![(BLOCK, FIRST)]);
                }
                Step::Later => rounds.on_known(round, &job, &member("c2"), vec![]),
                Step::Raised => {
                    rounds.on_known(round, &job, &member("c2"), vec![(BLOCK, LATER)]);
                }
            }
            if model.done.contains(&Step::Gone) && view.revision >= CANCELLED {
                view.carriers.clear();
            }
            if rounds.is_known(round, &all, &view) {
                assert!(model.safe(), "{order:?} told after {step:?}");
                let everybody = ["c1", "c2", "c3"].iter().all(|m| model.knows(m));
                told_before_all_know += usize::from(!everybody);
            }
        }
        assert!(rounds.is_known(round, &all, &view), "{order:?} never told");
    }
    assert!(
        told_before_all_know > 100,
        "one absent controller stops all"
    );
}

/// Numbers begin anew with each life of a process.
#[test]
fn an_answer_to_an_earlier_life_counts_for_nothing() {
    let mut rounds = Rounds::default();
    let job = JobId::from("job-2");
    let round = rounds.open(&job, CANCELLED);
    let all = BTreeSet::from([member("c1")]);
    let view = View {
        revision: Revision(9),
        leader: Some(member("c1")),
        carriers: BTreeMap::from([(BLOCK, Some(FIRST))]),
    };
    let stale = JobId::from("job-1");
    rounds.on_known(round, &stale, &member("c1"), vec![(BLOCK, FIRST)]);
    assert!(!rounds.is_known(round, &all, &view));
    rounds.on_known(round, &job, &member("c1"), vec![(BLOCK, FIRST)]);
    assert!(rounds.is_known(round, &all, &view));
    rounds.close(round);
    assert!(!rounds.is_known(round, &all, &view));
}
