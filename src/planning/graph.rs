//! The planner on general job graphs: placement groups (the paper's Algorithm 1), and weaker
//! machine types for the groups off the critical path (its Algorithm 2).

mod critical_path;
mod grouping;
mod step_down;

use super::history::Predicted;

/// A job as the planner sees it.
#[derive(Clone, Debug)]
pub(super) struct Node {
    /// Jobs that must be done first; all of them are earlier in the graph.
    pub parents: Vec<usize>,
    /// The size of its output, read as its task count.
    pub output: u32,
    /// Predicted run time on each allowed type, strongest first.
    pub times: Vec<Predicted>,
}

impl Node {
    /// Predicted seconds on the strongest type.
    fn shortest_s(&self) -> f64 {
        self.times.first().map_or(0.0, |t| t.seconds)
    }
}

/// Jobs in an order in which parents come first.
#[derive(Clone, Debug, Default)]
pub(super) struct Graph {
    /// The jobs; others refer to them by their index.
    pub nodes: Vec<Node>,
}

/// What is planned for the jobs of a graph.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    /// Each job's placement group.
    pub groups: Vec<usize>,
    /// Each job's type, as an index into its times.
    pub types: Vec<usize>,
}

/// Plans a graph, with groups of up to `cap` jobs that fan out together.
pub(super) fn plan(graph: &Graph, cap: usize) -> Plan {
    let groups = grouping::placement_groups(graph, cap.max(1));
    let types = step_down::machine_types(graph, &groups);
    Plan { groups, types }
}

#[cfg(test)]
mod tests;
