//! Placement groups: the jobs of a group share data and run on the same machines.

use super::Graph;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// The groups that have been assigned so far.
struct Groups {
    by_node: Vec<Option<usize>>,
    next: usize,
}

impl Groups {
    /// Returns the group of a job that has one.
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

/// Returns the group of each job.
pub(super) fn placement_groups(graph: &Graph, max_group_size: usize) -> Vec<usize> {
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
                fan_out(graph, None, &roots, max_group_size, &mut groups);
            }
            [parent] if children[*parent].len() == 1 => {
                groups.join(&[id], groups.group_of(*parent));
            }
            [parent] => {
                // Only children with a single parent: others join the parent with the largest output.
                let siblings: Vec<usize> = children[*parent]
                    .iter()
                    .copied()
                    .filter(|c| !groups.is_assigned(*c) && graph.nodes[*c].parents.len() == 1)
                    .collect();
                fan_out(graph, Some(*parent), &siblings, max_group_size, &mut groups);
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

/// Returns for each job the jobs that depend on it.
fn children(graph: &Graph) -> Vec<Vec<usize>> {
    let mut children = vec![Vec::new(); graph.nodes.len()];
    for (id, node) in graph.nodes.iter().enumerate() {
        for parent in &node.parents {
            children[*parent].push(id);
        }
    }
    children
}

/// Groups jobs that become ready at the same time. The short jobs with the largest outputs join their
/// parent's group. Then each long job forms a group with some of the remaining short ones, and jobs left
/// over form groups with others of their kind.
fn fan_out(
    graph: &Graph,
    parent: Option<usize>,
    jobs: &[usize],
    max_group_size: usize,
    groups: &mut Groups,
) {
    let time = |n: usize| graph.nodes[n].shortest_s();
    let Some(median) = median(jobs.iter().map(|n| time(*n)).collect()) else {
        return;
    };
    let (long, mut short): (Vec<usize>, Vec<usize>) =
        jobs.iter().copied().partition(|n| time(*n) > median);
    short.sort_by_key(|n| Reverse(graph.nodes[*n].output));
    let (mut long, mut short) = (VecDeque::from(long), VecDeque::from(short));
    if let Some(group) = parent.and_then(|p| groups.by_node[p]) {
        let joining = take(&mut short, max_group_size);
        groups.join(&joining, group);
    }
    while !long.is_empty() && !short.is_empty() {
        let mut members = take(&mut long, 1);
        members.extend(take(&mut short, max_group_size - 1));
        groups.create(&members);
    }
    while !short.is_empty() {
        let members = take(&mut short, max_group_size);
        groups.create(&members);
    }
    while !long.is_empty() {
        let members = take(&mut long, (max_group_size / 2).max(1));
        groups.create(&members);
    }
}

/// Takes up to `count` jobs from the front of a queue.
fn take(queue: &mut VecDeque<usize>, count: usize) -> Vec<usize> {
    let count = count.min(queue.len());
    queue.drain(..count).collect()
}

/// Returns the median, or `None` if there are no times.
fn median(mut times: Vec<f64>) -> Option<f64> {
    times.sort_by(f64::total_cmp);
    let middle = times.len() / 2;
    match times.len() {
        0 => None,
        n if n % 2 == 1 => Some(times[middle]),
        _ => Some((times[middle - 1] + times[middle]) / 2.0),
    }
}
