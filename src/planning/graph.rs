//! The planner for general job graphs. It assigns placement groups, as Algorithm 1 of the paper does, and
//! weaker machine types to the groups off the critical path, as Algorithm 2 of the paper does.

mod critical_path;
mod grouping;
mod type_downgrade;

use super::history::Prediction;

/// A job of the graph.
#[derive(Clone, Debug)]
pub(super) struct Node {
    /// The indices of the jobs that this one depends on. All of them come earlier in the graph.
    pub parents: Vec<usize>,
    /// The size of the output, approximated by the number of tasks.
    pub output: u32,
    /// The predicted run time on each allowed machine type, strongest first.
    pub times: Vec<Prediction>,
}

impl Node {
    /// Returns the predicted run time on the strongest type, in seconds.
    fn shortest_s(&self) -> f64 {
        self.times.first().map_or(0.0, |t| t.seconds)
    }
}

/// Jobs, sorted so that parents come before their children.
#[derive(Clone, Debug, Default)]
pub(super) struct Graph {
    /// The jobs. They refer to each other by their indices here.
    pub nodes: Vec<Node>,
}

/// The plan of a graph's jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    /// The placement group of each job.
    pub groups: Vec<usize>,
    /// The machine type of each job, as an index into its times.
    pub types: Vec<usize>,
}

/// Plans a graph. At most `max_group_size` jobs that become ready at the same time share a group, or join
/// their parent's group.
pub(super) fn plan(graph: &Graph, max_group_size: usize) -> Plan {
    let groups = grouping::placement_groups(graph, max_group_size.max(1));
    let types = type_downgrade::machine_types(graph, &groups);
    Plan { groups, types }
}

#[cfg(test)]
mod tests;
