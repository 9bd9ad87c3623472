//! Compares the planner with a slow and simple reference model on random graphs.

use super::{Graph, Node, Prediction, plan};
use proptest::prelude::*;

/// Returns the length in seconds of the longest path to the end of `node`, by trying every path.
fn longest_path_s(graph: &Graph, types: &[usize], node: usize) -> f64 {
    let own = graph.nodes[node].times[types[node]].seconds;
    let before = graph.nodes[node].parents.iter();
    own + before
        .map(|p| longest_path_s(graph, types, *p))
        .fold(0.0, f64::max)
}

fn total_s(graph: &Graph, types: &[usize]) -> f64 {
    (0..graph.nodes.len())
        .map(|n| longest_path_s(graph, types, n))
        .fold(0.0, f64::max)
}

/// A reference model of the grouping, with lists and linear searches only.
struct GroupModel<'a> {
    graph: &'a Graph,
    max_group_size: usize,
    groups: Vec<Option<usize>>,
    next: usize,
}

impl GroupModel<'_> {
    fn groups(graph: &Graph, max_group_size: usize) -> Vec<usize> {
        let count = graph.nodes.len();
        let mut model = GroupModel {
            graph,
            max_group_size,
            groups: vec![None; count],
            next: 0,
        };
        for id in 0..count {
            if model.groups[id].is_none() {
                model.assign(id);
            }
        }
        let groups = model.groups.into_iter();
        groups.map(|g| g.expect("every job has a group")).collect()
    }

    fn assign(&mut self, id: usize) {
        let parents = &self.graph.nodes[id].parents;
        if parents.len() > 1 {
            self.groups[id] = self.groups[self.largest_output(parents)];
        } else if parents.len() == 1 && self.child_count(parents[0]) == 1 {
            self.groups[id] = self.groups[parents[0]];
        } else {
            self.fan_out(parents);
        }
    }

    fn child_count(&self, parent: usize) -> usize {
        let nodes = self.graph.nodes.iter();
        nodes.filter(|node| node.parents.contains(&parent)).count()
    }

    /// Returns the parent with the largest output; on a tie, the first one.
    fn largest_output(&self, parents: &[usize]) -> usize {
        let count = self.graph.nodes.len();
        let key = |p: usize| (self.graph.nodes[p].output, count - p);
        let mut best = parents[0];
        for p in parents {
            best = if key(*p) > key(best) { *p } else { best };
        }
        best
    }

    fn time(&self, id: usize) -> f64 {
        self.graph.nodes[id].times[0].seconds
    }

    fn median(&self, ids: &[usize]) -> f64 {
        let mut sorted: Vec<f64> = ids.iter().map(|id| self.time(*id)).collect();
        sorted.sort_by(f64::total_cmp);
        let count = sorted.len();
        (sorted[(count - 1) / 2] + sorted[count / 2]) / 2.0
    }

    fn fan_out(&mut self, parents: &[usize]) {
        let graph = self.graph;
        let siblings: Vec<usize> = (0..graph.nodes.len())
            .filter(|c| self.groups[*c].is_none() && graph.nodes[*c].parents == *parents)
            .collect();
        let median = self.median(&siblings);
        let is_long = |c: &usize| self.time(*c) > median;
        let mut long: Vec<usize> = siblings.iter().copied().filter(|c| is_long(c)).collect();
        let mut short: Vec<usize> = siblings.iter().copied().filter(|c| !is_long(c)).collect();
        short.sort_by(|a, b| graph.nodes[*b].output.cmp(&graph.nodes[*a].output));
        if let Some(parent) = parents.first() {
            let group = self.groups[*parent];
            self.take(&mut short, self.max_group_size, group);
        }
        while !long.is_empty() && !short.is_empty() {
            self.take(&mut long, 1, Some(self.next));
            self.take(&mut short, self.max_group_size - 1, Some(self.next));
            self.next += 1;
        }
        for (list, size) in [
            (&mut short, self.max_group_size),
            (&mut long, (self.max_group_size / 2).max(1)),
        ] {
            while !list.is_empty() {
                self.take(list, size, Some(self.next));
                self.next += 1;
            }
        }
    }

    /// Puts up to `size` jobs from the front of a list into a group.
    fn take(&mut self, list: &mut Vec<usize>, size: usize, group: Option<usize>) {
        for _ in 0..size {
            if !list.is_empty() {
                self.groups[list.remove(0)] = group;
            }
        }
    }
}

prop_compose! {
    fn node()(parents in proptest::collection::vec(0usize..100, 0..3), output in 1u32..5,
              times in proptest::collection::vec((1u32..6, any::<bool>()), 3))
              -> (Vec<usize>, u32, Vec<(u32, bool)>) {
        (parents, output, times)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn plans_match_the_reference_model(raw in proptest::collection::vec(node(), 1..10), cap in 1usize..6) {
        let mut graph = Graph::default();
        for (id, (parents, output, times)) in raw.into_iter().enumerate() {
            let mut parents: Vec<usize> =
                if id == 0 { vec![] } else { parents.into_iter().map(|p| p % id).collect() };
            parents.sort_unstable();
            parents.dedup();
            let times = times.into_iter()
                .map(|(s, is_sampled)| Prediction { seconds: f64::from(s), is_sampled }).collect();
            graph.nodes.push(Node { parents, output, times });
        }
        let made = plan(&graph, cap);
        prop_assert_eq!(&made.groups, &GroupModel::groups(&graph, cap));
        let best = vec![0; graph.nodes.len()];
        prop_assert_eq!(total_s(&graph, &made.types), total_s(&graph, &best));
        for (id, t) in made.types.iter().enumerate() {
            prop_assert!(*t == 0 || graph.nodes[id].times[*t].is_sampled);
            for other in 0..made.types.len() {
                prop_assert!(made.groups[id] != made.groups[other] || *t == made.types[other]);
            }
        }
    }
}
