//! The design's ordinary path: predictions from a pipeline's own history, and the plan that is
//! made once, at acceptance.

pub mod counter;
mod graph;
mod history;

pub use graph::{Graph, Node, plan};
pub use history::{History, predict};

use crate::ids::MachineId;
use crate::store::records::PlanRecord;
use crate::store::replica::{LiveJob, Replica};

/// Machines named in a plan; more would only make its record larger.
const GROUP_MACHINES: usize = 12;

/// Plans an accepted job. The protocol carries no dependencies, so its pipeline is a graph of
/// one: it is its own critical path, gets the strongest allowed type, and joins the group of
/// the pipeline's last run with the same image, where that still stands.
pub fn plan_job(job: &LiveJob, replica: &Replica) -> PlanRecord {
    let spec = &job.spec;
    let settings = replica.settings();
    let allowed: Vec<_> = replica
        .catalog
        .iter()
        .flat_map(|c| &c.value.types)
        .filter(|t| spec.types.as_ref().is_none_or(|l| l.contains(&t.name)))
        .filter(|t| spec.need().fits(t.room()))
        .collect();
    let mut strongest = allowed;
    strongest.sort_by(|a, b| {
        (b.cpus, b.gpus, b.memory_gb)
            .partial_cmp(&(a.cpus, a.gpus, a.memory_gb))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    let history = replica.history.get(&spec.pipeline).map(|h| &h.value);
    let node = Node {
        parents: Vec::new(),
        output: spec.tasks,
        times: strongest
            .iter()
            .map(|t| predict(history, &t.name, &settings, spec.estimate_s))
            .collect(),
    };
    let plan = plan(
        &Graph {
            nodes: vec![node.clone()],
        },
        settings.group_cap as usize,
    );
    let chosen = plan.types.first().copied().unwrap_or(0);
    let mut machines: Vec<(usize, &MachineId)> = replica
        .machines
        .iter()
        .filter_map(|(id, m)| {
            let at = m.images.iter().rev().position(|(i, _)| *i == spec.image)?;
            let record = &m.record;
            spec.allows(&record.type_name, &record.zone, record.spot)
                .then_some((at, id))
        })
        .collect();
    machines.sort();
    PlanRecord {
        type_name: strongest.get(chosen).map(|t| t.name.clone()),
        machines: machines
            .into_iter()
            .take(GROUP_MACHINES)
            .map(|(_, id)| id.clone())
            .collect(),
        predicted_s: node
            .times
            .get(chosen)
            .map_or(spec.estimate_s, |t| t.seconds),
    }
}
