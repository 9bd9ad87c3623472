//! A slow, plain model of the planner, which the real one is compared with on random graphs.

use super::{Graph, Node, Predicted, plan};
use proptest::prelude::*;

/// The longest path to the end of `node`, by trying every path.
fn longest(graph: &Graph, types: &[usize], node: usize) -> f64 {
    let own = graph.nodes[node].times[types[node]].seconds;
    let before = graph.nodes[node].parents.iter();
    own + before
        .map(|p| longest(graph, types, *p))
        .fold(0.0, f64::max)
}

fn total(graph: &Graph, types: &[usize]) -> f64 {
    (0..graph.nodes.len())
        .map(|n| longest(graph, types, n))
        .fold(0.0, f64::max)
}

/// Group by group, as the design words it, with lists and linear searches only.
fn groups(graph: &Graph, cap: usize) -> Vec<usize> {
    let n = graph.nodes.len();
    let mut of = vec![usize::MAX; n];
    let mut next = 0;
    let kids = |p: usize| {
        (0..n)
            .filter(|c| graph.nodes[*c].parents.contains(&p))
            .count()
    };
    for id in 0..n {
        if of[id] != usize::MAX {
            continue;
        }
        let parents = &graph.nodes[id].parents;
        if parents.len() > 1 {
            let mut best = parents[0];
            for p in parents {
                let better = (graph.nodes[*p].output, n - p) > (graph.nodes[best].output, n - best);
                best = if better { *p } else { best };
            }
            of[id] = of[best];
            continue;
        }
        if parents.len() == 1 && kids(parents[0]) == 1 {
            of[id] = of[parents[0]];
            continue;
        }
        let fan: Vec<usize> = (0..n)
            .filter(|c| of[*c] == usize::MAX && graph.nodes[*c].parents == *parents)
            .collect();
        let mut sorted: Vec<f64> = fan
            .iter()
            .map(|c| graph.nodes[*c].times[0].seconds)
            .collect();
        sorted.sort_by(f64::total_cmp);
        let k = sorted.len();
        let median = (sorted[(k - 1) / 2] + sorted[k / 2]) / 2.0;
        let is_long = |c: &usize| graph.nodes[*c].times[0].seconds > median;
        let mut longs: Vec<usize> = fan.iter().copied().filter(|c| is_long(c)).collect();
        let mut shorts: Vec<usize> = fan.iter().copied().filter(|c| !is_long(c)).collect();
        shorts.sort_by(|a, b| graph.nodes[*b].output.cmp(&graph.nodes[*a].output));
        if let Some(parent) = parents.first() {
            for _ in 0..cap {
                if !shorts.is_empty() {
                    of[shorts.remove(0)] = of[*parent];
                }
            }
        }
        while !longs.is_empty() && !shorts.is_empty() {
            of[longs.remove(0)] = next;
            for _ in 1..cap {
                if !shorts.is_empty() {
                    of[shorts.remove(0)] = next;
                }
            }
            next += 1;
        }
        for (list, size) in [(&mut shorts, cap), (&mut longs, (cap / 2).max(1))] {
            while !list.is_empty() {
                for _ in 0..size {
                    if !list.is_empty() {
                        of[list.remove(0)] = next;
                    }
                }
                next += 1;
            }
        }
    }
    of
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
    fn plans_agree_with_the_model(raw in proptest::collection::vec(node(), 1..10), cap in 1usize..6) {
        let mut graph = Graph::default();
        for (id, (parents, output, times)) in raw.into_iter().enumerate() {
            let mut parents: Vec<usize> =
                if id == 0 { vec![] } else { parents.into_iter().map(|p| p % id).collect() };
            parents.sort_unstable();
            parents.dedup();
            let times = times.into_iter()
                .map(|(s, sampled)| Predicted { seconds: f64::from(s), sampled }).collect();
            graph.nodes.push(Node { parents, output, times });
        }
        let made = plan(&graph, cap);
        prop_assert_eq!(&made.groups, &groups(&graph, cap));
        let best = vec![0; graph.nodes.len()];
        prop_assert_eq!(total(&graph, &made.types), total(&graph, &best));
        for (id, t) in made.types.iter().enumerate() {
            prop_assert!(*t == 0 || graph.nodes[id].times[*t].sampled);
            for other in 0..made.types.len() {
                prop_assert!(made.groups[id] != made.groups[other] || *t == made.types[other]);
            }
        }
    }
}
