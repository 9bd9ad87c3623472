//! Run times of a pipeline's earlier tasks by machine type, and predictions based on them.

use crate::admin::Settings;
use crate::ids::{MachineTypeName, Millis, Pipeline};
use crate::store::records::HistoryRecord;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// Limits the samples stored for one machine type; the oldest are dropped.
const MAX_SAMPLES: usize = 32;
/// Limits the pipelines with unwritten samples; samples of further pipelines are dropped.
const MAX_UNWRITTEN_PIPELINES: usize = 1000;
/// Limits the unwritten samples of one pipeline; further samples are dropped.
const MAX_UNWRITTEN_SAMPLES: usize = 4 * MAX_SAMPLES;

/// The predicted run time of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Prediction {
    /// The run time in seconds.
    pub seconds: f64,
    /// Whether there were enough samples of the machine type for the prediction.
    pub is_sampled: bool,
}

/// Predicts the run time of a task on a machine type. The prediction is the percentile set in the settings
/// of the type's samples or, if these are too few, of the samples of all types. If these are too few as
/// well, it is the job's own estimate. Samples are ratios of run time to the job's estimate, because jobs
/// of one pipeline differ in size: the estimates reflect the relative sizes even if all of them are wrong
/// by the same factor.
pub(super) fn predict(
    history: Option<&HistoryRecord>,
    type_name: &MachineTypeName,
    settings: &Settings,
    estimate_s: f64,
) -> Prediction {
    let scale = sample_scale(estimate_s);
    let min_samples = settings.sample_count as usize;
    let own_type = history.and_then(|h| h.run_time_ratios.get(type_name));
    if let Some(samples) = own_type.filter(|s| s.len() >= min_samples) {
        return Prediction {
            seconds: scale * percentile(samples.clone(), settings.percentile),
            is_sampled: true,
        };
    }
    let all: Vec<f32> = history
        .iter()
        .flat_map(|h| h.run_time_ratios.values().flatten().copied())
        .collect();
    let seconds = if all.len() >= min_samples {
        scale * percentile(all, settings.percentile)
    } else {
        estimate_s
    };
    Prediction {
        seconds,
        is_sampled: false,
    }
}

/// Returns the number of seconds that a sample of 1.0 stands for; 1 if the job has no estimate.
fn sample_scale(estimate_s: f64) -> f64 {
    if estimate_s > 0.0 { estimate_s } else { 1.0 }
}

/// Returns the sample at a percentile from 0 to 1, or 0 if there are no samples.
fn percentile(mut samples: Vec<f32>, percentile: f64) -> f64 {
    samples.sort_by(f32::total_cmp);
    let last = samples.len().saturating_sub(1);
    let at = (percentile * last as f64).round() as usize;
    samples.get(at.min(last)).copied().unwrap_or(0.0).into()
}

/// Samples that the leader has not written yet. The samples of one pipeline are written together; a lost
/// sample does no harm.
#[derive(Debug, Default)]
pub(crate) struct History {
    unwritten: BTreeMap<Pipeline, Vec<(MachineTypeName, f32)>>,
}

impl History {
    /// Adds the run time of a task as a ratio to its job's estimate. Samples over the limits are dropped.
    pub(crate) fn add(
        &mut self,
        pipeline: &Pipeline,
        type_name: &MachineTypeName,
        estimate_s: f64,
        run_time: Millis,
    ) {
        let sample = (run_time.as_secs_f64() / sample_scale(estimate_s)) as f32;
        if self.unwritten.len() < MAX_UNWRITTEN_PIPELINES || self.unwritten.contains_key(pipeline) {
            let samples = self.unwritten.entry(pipeline.clone()).or_default();
            if samples.len() < MAX_UNWRITTEN_SAMPLES {
                samples.push((type_name.clone(), sample));
            }
        }
    }

    /// Returns the history record of the first pipeline by name that has unwritten samples, with these
    /// samples merged in. They then no longer count as unwritten. The oldest samples are dropped if the
    /// record would exceed `value_bytes`.
    pub(crate) fn next(
        &mut self,
        cache: &WatchCache,
        value_bytes: usize,
    ) -> Option<(Pipeline, HistoryRecord)> {
        let (pipeline, unwritten) = self.unwritten.pop_first()?;
        let mut record = cache
            .history
            .get(&pipeline)
            .map(|h| h.value.clone())
            .unwrap_or_default();
        for (type_name, sample) in unwritten {
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
        self.unwritten.clear();
    }
}

/// Drops the oldest samples of the types with the most samples until the record fits into `value_bytes`.
fn shrink(record: &mut HistoryRecord, value_bytes: usize) {
    let size = |record: &HistoryRecord| serde_json::to_vec(record).map_or(0, |json| json.len());
    while size(record) > value_bytes {
        let largest = record
            .run_time_ratios
            .iter()
            .max_by_key(|(_, samples)| samples.len());
        let Some(name) = largest.map(|(name, _)| name.clone()) else {
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
