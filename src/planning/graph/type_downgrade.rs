//! Chooses weaker machine types for jobs that are not on the critical path.

use super::Graph;
use super::critical_path::Schedule;

/// Returns each job's machine type as an index into its times. It is the strongest type, except that groups
/// off the critical path get weaker types as far as this does not lengthen the whole graph's run time.
pub(super) fn machine_types(graph: &Graph, groups: &[usize]) -> Vec<usize> {
    let count = graph.nodes.len();
    let mut types = vec![0; count];
    let schedule = Schedule::new(graph, &types);
    let total_s = schedule.total_s();
    for group in groups_off_path(groups, &schedule.critical_jobs()) {
        let members: Vec<usize> = (0..count).filter(|n| groups[*n] == group).collect();
        downgrade_group(graph, &members, total_s, &mut types);
    }
    types
}

/// Returns the groups without a job on the critical path.
fn groups_off_path(groups: &[usize], is_critical: &[bool]) -> Vec<usize> {
    let mut off_path: Vec<usize> = groups.to_vec();
    off_path.sort_unstable();
    off_path.dedup();
    off_path.retain(|g| (0..groups.len()).all(|n| groups[n] != *g || !is_critical[n]));
    off_path
}

/// Moves a group to weaker and weaker types while the whole graph takes at most `total_s` seconds.
fn downgrade_group(graph: &Graph, members: &[usize], total_s: f64, types: &mut [usize]) {
    let type_count = members
        .iter()
        .map(|n| graph.nodes[*n].times.len())
        .min()
        .unwrap_or(0);
    for weaker in 1..type_count {
        // Predictions from too few samples are not reliable enough to choose a weaker type.
        let is_sampled = |n: &usize| graph.nodes[*n].times[weaker].is_sampled;
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
