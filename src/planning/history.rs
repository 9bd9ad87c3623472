//! Run times of earlier tasks of a pipeline, kept per machine type.

use crate::admin::Settings;
use crate::ids::{Millis, Pipeline, TypeName};
use crate::store::records::HistoryRecord;
use crate::store::watch_cache::WatchCache;
use std::collections::BTreeMap;

const SAMPLES: usize = 32;

/// A predicted run time, and whether it rests on enough samples of its machine type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Predicted {
    pub seconds: f64,
    pub sampled: bool,
}

/// The chosen percentile of the type's samples, else of all types', else the owner's estimate.
/// Samples are kept as parts of the estimate that came with their job: jobs of one pipeline
/// differ in size, and the estimate says how much, even where it is wrong all day.
pub(crate) fn predict(
    history: Option<&HistoryRecord>,
    type_name: &TypeName,
    settings: &Settings,
    estimate_s: f64,
) -> Predicted {
    let scale = if estimate_s > 0.0 { estimate_s } else { 1.0 };
    let enough = settings.sample_count as usize;
    let own = history.and_then(|h| h.types.get(type_name));
    if let Some(samples) = own.filter(|s| s.len() >= enough) {
        return Predicted {
            seconds: scale * percentile(samples.clone(), settings.percentile),
            sampled: true,
        };
    }
    let all: Vec<f32> = history
        .iter()
        .flat_map(|h| h.types.values().flatten().copied())
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

fn percentile(mut samples: Vec<f32>, part: f64) -> f64 {
    samples.sort_by(f32::total_cmp);
    let last = samples.len().saturating_sub(1);
    let at = (part * last as f64).round() as usize;
    samples.get(at.min(last)).copied().unwrap_or(0.0).into()
}

/// Samples that the leader has not written yet: they are written in batches, since a lost one
/// costs nothing.
#[derive(Debug, Default)]
pub(crate) struct History {
    fresh: BTreeMap<Pipeline, Vec<(TypeName, f32)>>,
}

impl History {
    pub(crate) fn add(
        &mut self,
        pipeline: &Pipeline,
        type_name: &TypeName,
        estimate_s: f64,
        ran: Millis,
    ) {
        let scale = if estimate_s > 0.0 { estimate_s } else { 1.0 };
        let sample = (ran.as_secs_f64() / scale) as f32;
        if self.fresh.len() < 1000 || self.fresh.contains_key(pipeline) {
            let samples = self.fresh.entry(pipeline.clone()).or_default();
            if samples.len() < 4 * SAMPLES {
                samples.push((type_name.clone(), sample));
            }
        }
    }

    /// The next record to write, with the fresh samples merged in, as many as fit into a value.
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
            let samples = record.types.entry(type_name).or_default();
            samples.push(sample);
            let excess = samples.len().saturating_sub(SAMPLES);
            samples.drain(..excess);
        }
        shrink(&mut record, value_bytes);
        Some((pipeline, record))
    }

    pub(crate) fn clear(&mut self) {
        self.fresh.clear();
    }
}

/// Drops the oldest samples of the types that have most, until a record fits.
fn shrink(record: &mut HistoryRecord, value_bytes: usize) {
    let size = |record: &HistoryRecord| serde_json::to_vec(record).map_or(0, |json| json.len());
    while size(record) > value_bytes {
        let most = record.types.iter().max_by_key(|(_, samples)| samples.len());
        let Some(name) = most.map(|(name, _)| name.clone()) else {
            return;
        };
        match record.types.get_mut(&name) {
            Some(samples) if samples.len() > 1 => drop(samples.remove(0)),
            _ => drop(record.types.remove(&name)),
        }
    }
}

#[cfg(test)]
mod tests;
