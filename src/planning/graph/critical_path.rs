//! The critical path of a graph in which each job has a machine type.

use super::Graph;

/// The finish times of a graph's jobs, counted from the start of the first job.
pub(super) struct Schedule {
    /// The finish time of each job, in seconds.
    finish_s: Vec<f64>,
    /// For each job, its parent with the latest finish time; `None` if it has no parents.
    last_parent: Vec<Option<usize>>,
}

impl Schedule {
    /// Computes the schedule with the given machine type of each job, an index into its times.
    pub(super) fn new(graph: &Graph, types: &[usize]) -> Self {
        let mut finish_s: Vec<f64> = Vec::with_capacity(graph.nodes.len());
        let mut last_parent = Vec::with_capacity(graph.nodes.len());
        for (id, node) in graph.nodes.iter().enumerate() {
            let latest = node
                .parents
                .iter()
                .copied()
                .max_by(|a, b| finish_s[*a].total_cmp(&finish_s[*b]));
            let start_s = latest.map_or(0.0, |parent| finish_s[parent]);
            let own_s = node.times.get(types[id]).map_or(0.0, |t| t.seconds);
            finish_s.push(start_s + own_s);
            last_parent.push(latest);
        }
        Self {
            finish_s,
            last_parent,
        }
    }

    /// Returns the number of seconds until all jobs are finished.
    pub(super) fn total_s(&self) -> f64 {
        self.finish_s.iter().copied().fold(0.0, f64::max)
    }

    /// Returns for each job whether it is on the critical path.
    pub(super) fn critical_jobs(&self) -> Vec<bool> {
        let count = self.finish_s.len();
        let mut is_critical = vec![false; count];
        let mut next = (0..count).max_by(|a, b| self.finish_s[*a].total_cmp(&self.finish_s[*b]));
        while let Some(node) = next {
            is_critical[node] = true;
            next = self.last_parent[node];
        }
        is_critical
    }
}
