//! Run times of a pipeline's earlier tasks, by machine type, and predictions from them.

use crate::admin::Settings;
use crate::ids::{MachineTypeName, Millis, Pipeline};
use crate::store::records::HistoryRecord;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The largest number of samples that are stored for a machine type.
const MAX_SAMPLES: usize = 32;
/// The largest number of pipelines that have unwritten samples.
const MAX_FRESH_PIPELINES: usize = 1000;
/// The largest number of unwritten samples of one pipeline.
const MAX_FRESH_SAMPLES: usize = 4 * MAX_SAMPLES;

/// A predicted run time of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Predicted {
    /// The run time.
    pub seconds: f64,
    /// Whether it rests on enough samples of its machine type.
    pub sampled: bool,
}

/// The percentile that the settings choose of the type's samples, else of all types' samples, else
/// the estimate that came with the job. Samples are fractions of their jobs' estimates: jobs of one
/// pipeline differ in size, and the estimates say how much, even where they are wrong by a factor.
pub(super) fn predict(
    history: Option<&HistoryRecord>,
    type_name: &MachineTypeName,
    settings: &Settings,
    estimate_s: f64,
) -> Predicted {
    let scale = sample_scale(estimate_s);
    let enough = settings.sample_count as usize;
    let own_type = history.and_then(|h| h.run_time_ratios.get(type_name));
    if let Some(samples) = own_type.filter(|s| s.len() >= enough) {
        return Predicted {
            seconds: scale * percentile(samples.clone(), settings.percentile),
            sampled: true,
        };
    }
    let all: Vec<f32> = history
        .iter()
        .flat_map(|h| h.run_time_ratios.values().flatten().copied())
        .collect();
    let seconds = if all.len() >= enough {
        scale * percentile(all, settings.percentile)
    } else {
        estimate_s
    };
    Predicted {
        seconds,
        sampled: false,
    }
}

/// What samples are fractions of.
fn sample_scale(estimate_s: f64) -> f64 {
    if estimate_s > 0.0 { estimate_s } else { 1.0 }
}

/// The sample at a percentile from 0 to 1; 0 without samples.
fn percentile(mut samples: Vec<f32>, percentile: f64) -> f64 {
    samples.sort_by(f32::total_cmp);
    let last = samples.len().saturating_sub(1);
    let at = (percentile * last as f64).round() as usize;
    samples.get(at.min(last)).copied().unwrap_or(0.0).into()
}

/// Samples that the leader has not written yet: they are written in batches, since a lost one
/// costs nothing.
#[derive(Debug, Default)]
pub(crate) struct History {
    fresh: BTreeMap<Pipeline, Vec<(MachineTypeName, f32)>>,
}

impl History {
    /// Adds the run time of a task whose job came with an estimate. Bounded: what is too much is
    /// dropped.
    pub(crate) fn add(
        &mut self,
        pipeline: &Pipeline,
        type_name: &MachineTypeName,
        estimate_s: f64,
        ran: Millis,
    ) {
        let sample = (ran.as_secs_f64() / sample_scale(estimate_s)) as f32;
        if self.fresh.len() < MAX_FRESH_PIPELINES || self.fresh.contains_key(pipeline) {
            let samples = self.fresh.entry(pipeline.clone()).or_default();
            if samples.len() < MAX_FRESH_SAMPLES {
                samples.push((type_name.clone(), sample));
            }
        }
    }

    /// The next record to write, with its pipeline's unwritten samples merged in, as many as fit
    /// into `value_bytes`.
    pub(crate) fn next(
        &mut self,
        cache: &WatchCache,
        value_bytes: usize,
    ) -> Option<(Pipeline, HistoryRecord)> {
        let (pipeline, fresh) = self.fresh.pop_first()?;
        let mut record = cache
            .history
            .get(&pipeline)
            .map(|h| h.value.clone())
            .unwrap_or_default();
        for (type_name, sample) in fresh {
            let samples = record.run_time_ratios.entry(type_name).or_default();
            samples.push(sample);
            let excess = samples.len().saturating_sub(MAX_SAMPLES);
            samples.drain(..excess);
        }
        shrink(&mut record, value_bytes);
        Some((pipeline, record))
    }

    /// Forgets all unwritten samples.
    pub(crate) fn clear(&mut self) {
        self.fresh.clear();
    }
}

/// Drops the oldest samples of the types that have the most, until a record fits.
fn shrink(record: &mut HistoryRecord, value_bytes: usize) {
    let size = |record: &HistoryRecord| serde_json::to_vec(record).map_or(0, |json| json.len());
    while size(record) > value_bytes {
        let most = record
            .run_time_ratios
            .iter()
            .max_by_key(|(_, samples)| samples.len());
        let Some(name) = most.map(|(name, _)| name.clone()) else {
            return;
        };
        match record.run_time_ratios.get_mut(&name) {
            Some(samples) if samples.len() > 1 => drop(samples.remove(0)),
            _ => drop(record.run_time_ratios.remove(&name)),
        }
    }
}

#[cfg(test)]
mod tests;
