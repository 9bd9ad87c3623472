//! The planner on general job graphs: placement groups (the paper's Algorithm 1) and the
//! step-down of those off the critical path (its Algorithm 2).

use super::history::Predicted;
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Jobs that must be done first; all of them stand earlier in the graph.
    pub parents: Vec<usize>,
    /// The size of its output, read as its task count.
    pub output: u32,
    /// Predicted run time on each allowed type, strongest first.
    pub times: Vec<Predicted>,
}

/// Jobs in an order in which parents come first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Graph {
    pub nodes: Vec<Node>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Plan {
    /// Each job's group.
    pub groups: Vec<usize>,
    /// Each job's type, as an index into its times.
    pub types: Vec<usize>,
}

pub(crate) fn plan(graph: &Graph, cap: usize) -> Plan {
    let groups = assign(graph, cap.max(1));
    let types = step_down(graph, &groups);
    Plan { groups, types }
}

fn strongest(node: &Node) -> f64 {
    node.times.first().map_or(0.0, |t| t.seconds)
}

struct Groups {
    of: Vec<Option<usize>>,
    next: usize,
}

impl Groups {
    fn fresh(&mut self, nodes: &[usize]) {
        let group = self.next;
        self.next += 1;
        self.join(nodes, group);
    }
    fn join(&mut self, nodes: &[usize], group: usize) {
        for node in nodes {
            self.of[*node] = Some(group);
        }
    }
}

fn assign(graph: &Graph, cap: usize) -> Vec<usize> {
    let count = graph.nodes.len();
    let mut children = vec![Vec::new(); count];
    for (id, node) in graph.nodes.iter().enumerate() {
        for parent in &node.parents {
            children[*parent].push(id);
        }
    }
    let mut groups = Groups {
        of: vec![None; count],
        next: 0,
    };
    for (id, node) in graph.nodes.iter().enumerate() {
        if groups.of[id].is_some() {
            continue;
        }
        match node.parents.as_slice() {
            [] => {
                let roots: Vec<usize> = (0..count)
                    .filter(|n| graph.nodes[*n].parents.is_empty() && groups.of[*n].is_none())
                    .collect();
                fan_out(graph, None, &roots, cap, &mut groups);
            }
            [parent] if children[*parent].len() == 1 => {
                let group = groups.of[*parent].unwrap_or(0);
                groups.join(&[id], group);
            }
            [parent] => {
                // Only children of this one parent: others join their largest input.
                let fan: Vec<usize> = children[*parent]
                    .iter()
                    .copied()
                    .filter(|c| groups.of[*c].is_none() && graph.nodes[*c].parents.len() == 1)
                    .collect();
                fan_out(graph, groups.of[*parent], &fan, cap, &mut groups);
            }
            parents => {
                let largest = parents
                    .iter()
                    .copied()
                    .max_by_key(|p| (graph.nodes[*p].output, std::cmp::Reverse(*p)));
                let group = largest.and_then(|p| groups.of[p]).unwrap_or(0);
                groups.join(&[id], group);
            }
        }
    }
    groups.of.into_iter().map(|g| g.unwrap_or(0)).collect()
}

fn fan_out(graph: &Graph, parent: Option<usize>, tasks: &[usize], cap: usize, groups: &mut Groups) {
    let time = |n: usize| strongest(&graph.nodes[n]);
    let mut times: Vec<f64> = tasks.iter().map(|n| time(*n)).collect();
    times.sort_by(f64::total_cmp);
    let middle = times.len() / 2;
    let median = match times.len() {
        0 => return,
        n if n % 2 == 1 => times[middle],
        _ => (times[middle - 1] + times[middle]) / 2.0,
    };
    let (long, mut short): (Vec<usize>, Vec<usize>) =
        tasks.iter().copied().partition(|n| time(*n) > median);
    short.sort_by_key(|n| std::cmp::Reverse(graph.nodes[*n].output));
    let (mut long, mut short) = (VecDeque::from(long), VecDeque::from(short));
    let take = |from: &mut VecDeque<usize>, n: usize| -> Vec<usize> {
        let n = n.min(from.len());
        from.drain(..n).collect()
    };
    if let Some(group) = parent {
        let reclaim_leaving = take(&mut short, cap);
        groups.join(&reclaim_leaving, group);
    }
    while !long.is_empty() && !short.is_empty() {
        let mut pair = take(&mut long, 1);
        pair.extend(take(&mut short, cap - 1));
        groups.fresh(&pair);
    }
    while !short.is_empty() {
        let some = take(&mut short, cap);
        groups.fresh(&some);
    }
    while !long.is_empty() {
        let some = take(&mut long, (cap / 2).max(1));
        groups.fresh(&some);
    }
}

/// When each job is finished, and which job it waited for last.
fn finish_times(graph: &Graph, types: &[usize]) -> (Vec<f64>, Vec<Option<usize>>) {
    let mut finish: Vec<f64> = Vec::with_capacity(graph.nodes.len());
    let mut last = Vec::with_capacity(graph.nodes.len());
    for (id, node) in graph.nodes.iter().enumerate() {
        let slowest = node
            .parents
            .iter()
            .copied()
            .max_by(|a, b| finish[*a].total_cmp(&finish[*b]));
        let start = slowest.map_or(0.0, |p| finish[p]);
        let own = node.times.get(types[id]).map_or(0.0, |t| t.seconds);
        finish.push(start + own);
        last.push(slowest);
    }
    (finish, last)
}

fn critical_time(graph: &Graph, types: &[usize]) -> f64 {
    finish_times(graph, types).0.into_iter().fold(0.0, f64::max)
}

fn step_down(graph: &Graph, groups: &[usize]) -> Vec<usize> {
    let count = graph.nodes.len();
    let mut types = vec![0; count];
    let (finish, last) = finish_times(graph, &types);
    let total = finish.iter().copied().fold(0.0, f64::max);
    let mut critical = vec![false; count];
    let mut at = (0..count).max_by(|a, b| finish[*a].total_cmp(&finish[*b]));
    while let Some(node) = at {
        critical[node] = true;
        at = last[node];
    }
    let mut off: Vec<usize> = groups.to_vec();
    off.sort_unstable();
    off.dedup();
    off.retain(|g| (0..count).all(|n| groups[n] != *g || !critical[n]));
    for group in off {
        let members: Vec<usize> = (0..count).filter(|n| groups[*n] == group).collect();
        let weakest = members
            .iter()
            .map(|n| graph.nodes[*n].times.len())
            .min()
            .unwrap_or(0);
        for weaker in 1..weakest {
            // Only to a type with enough samples: the step rests on its predictions.
            if !members
                .iter()
                .all(|n| graph.nodes[*n].times[weaker].sampled)
            {
                continue;
            }
            let before: Vec<usize> = members.iter().map(|n| types[*n]).collect();
            for n in &members {
                types[*n] = weaker;
            }
            if critical_time(graph, &types) > total {
                for (n, old) in members.iter().zip(before) {
                    types[*n] = old;
                }
                break;
            }
        }
    }
    types
}

#[cfg(test)]
#[path = "model.rs"]
mod model;
