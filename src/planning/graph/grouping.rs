//! Placement groups: jobs that share their data run on the same machines.

use super::Graph;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// The groups that jobs have been given so far.
struct Groups {
    by_node: Vec<Option<usize>>,
    next: usize,
}

impl Groups {
    /// The group of a job that has one.
    fn group_of(&self, node: usize) -> usize {
        self.by_node[node].unwrap_or(0)
    }

    fn is_assigned(&self, node: usize) -> bool {
        self.by_node[node].is_some()
    }

    /// Puts jobs into a new group.
    fn create(&mut self, nodes: &[usize]) {
        let group = self.next;
        self.next += 1;
        self.join(nodes, group);
    }

    fn join(&mut self, nodes: &[usize], group: usize) {
        for node in nodes {
            self.by_node[*node] = Some(group);
        }
    }
}

/// Each job's group.
pub(super) fn placement_groups(graph: &Graph, cap: usize) -> Vec<usize> {
    let count = graph.nodes.len();
    let children = children(graph);
    let mut groups = Groups {
        by_node: vec![None; count],
        next: 0,
    };
    for (id, node) in graph.nodes.iter().enumerate() {
        if groups.is_assigned(id) {
            continue;
        }
        match node.parents.as_slice() {
            [] => {
                let roots: Vec<usize> = (0..count)
                    .filter(|n| graph.nodes[*n].parents.is_empty() && !groups.is_assigned(*n))
                    .collect();
                fan_out(graph, None, &roots, cap, &mut groups);
            }
            [parent] if children[*parent].len() == 1 => {
                groups.join(&[id], groups.group_of(*parent));
            }
            [parent] => {
                // Only children of this one parent: others join their largest input.
                let siblings: Vec<usize> = children[*parent]
                    .iter()
                    .copied()
                    .filter(|c| !groups.is_assigned(*c) && graph.nodes[*c].parents.len() == 1)
                    .collect();
                fan_out(graph, Some(*parent), &siblings, cap, &mut groups);
            }
            parents => {
                let largest = parents
                    .iter()
                    .copied()
                    .max_by_key(|p| (graph.nodes[*p].output, Reverse(*p)));
                let group = largest.map_or(0, |parent| groups.group_of(parent));
                groups.join(&[id], group);
            }
        }
    }
    (0..count).map(|id| groups.group_of(id)).collect()
}

/// The jobs that depend on each job.
fn children(graph: &Graph) -> Vec<Vec<usize>> {
    let mut children = vec![Vec::new(); graph.nodes.len()];
    for (id, node) in graph.nodes.iter().enumerate() {
        for parent in &node.parents {
            children[*parent].push(id);
        }
    }
    children
}

/// Groups jobs that become eligible together: the short ones with the largest outputs join their
/// parent, then each long one gets short ones beside it, and the rest form groups of their own.
fn fan_out(graph: &Graph, parent: Option<usize>, jobs: &[usize], cap: usize, groups: &mut Groups) {
    let time = |n: usize| graph.nodes[n].shortest_s();
    let Some(median) = median(jobs.iter().map(|n| time(*n)).collect()) else {
        return;
    };
    let (long, mut short): (Vec<usize>, Vec<usize>) =
        jobs.iter().copied().partition(|n| time(*n) > median);
    short.sort_by_key(|n| Reverse(graph.nodes[*n].output));
    let (mut long, mut short) = (VecDeque::from(long), VecDeque::from(short));
    if let Some(group) = parent.and_then(|p| groups.by_node[p]) {
        let joining = take(&mut short, cap);
        groups.join(&joining, group);
    }
    while !long.is_empty() && !short.is_empty() {
        let mut members = take(&mut long, 1);
        members.extend(take(&mut short, cap - 1));
        groups.create(&members);
    }
    while !short.is_empty() {
        let members = take(&mut short, cap);
        groups.create(&members);
    }
    while !long.is_empty() {
        let members = take(&mut long, (cap / 2).max(1));
        groups.create(&members);
    }
}

/// Takes up to `count` jobs from the front of a queue.
fn take(queue: &mut VecDeque<usize>, count: usize) -> Vec<usize> {
    let count = count.min(queue.len());
    queue.drain(..count).collect()
}

/// The middle of some times, or the mean of the two in the middle; `None` without any.
fn median(mut times: Vec<f64>) -> Option<f64> {
    times.sort_by(f64::total_cmp);
    let middle = times.len() / 2;
    match times.len() {
        0 => None,
        n if n % 2 == 1 => Some(times[middle]),
        _ => Some((times[middle - 1] + times[middle]) / 2.0),
    }
}
