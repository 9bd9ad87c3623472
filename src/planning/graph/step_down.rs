//! Weaker machine types for jobs that have time to spare.

use super::Graph;
use super::critical_path::Schedule;

/// Each job's type, as an index into its times: the strongest, and for the groups off the critical
/// path the weakest with which the whole graph takes no longer.
pub(super) fn machine_types(graph: &Graph, groups: &[usize]) -> Vec<usize> {
    let count = graph.nodes.len();
    let mut types = vec![0; count];
    let schedule = Schedule::new(graph, &types);
    let total_s = schedule.total_s();
    for group in groups_off_path(groups, &schedule.critical_jobs()) {
        let members: Vec<usize> = (0..count).filter(|n| groups[*n] == group).collect();
        step_down(graph, &members, total_s, &mut types);
    }
    types
}

/// The groups without a job on the critical path.
fn groups_off_path(groups: &[usize], is_critical: &[bool]) -> Vec<usize> {
    let mut off_path: Vec<usize> = groups.to_vec();
    off_path.sort_unstable();
    off_path.dedup();
    off_path.retain(|g| (0..groups.len()).all(|n| groups[n] != *g || !is_critical[n]));
    off_path
}

/// Moves a group to weaker types as long as the whole graph takes no longer than `total_s`.
fn step_down(graph: &Graph, members: &[usize], total_s: f64, types: &mut [usize]) {
    let type_count = members
        .iter()
        .map(|n| graph.nodes[*n].times.len())
        .min()
        .unwrap_or(0);
    for weaker in 1..type_count {
        // Only to a type with enough samples: the step rests on its predictions.
        let is_sampled = |n: &usize| graph.nodes[*n].times[weaker].sampled;
        if !members.iter().all(is_sampled) {
            continue;
        }
        let before: Vec<usize> = members.iter().map(|n| types[*n]).collect();
        for n in members {
            types[*n] = weaker;
        }
        if Schedule::new(graph, types).total_s() > total_s {
            for (n, old) in members.iter().zip(before) {
                types[*n] = old;
            }
            break;
        }
    }
}
