//! The records' contents.

use crate::ids::{
    Amounts, Attempt, GrantId, Image, Incarnation, JobId, MachineId, Member, Revision, Run, TaskId,
    TeamId, TypeName, Wall, Zone,
};
use crate::wire::{JobSpec, JobState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: Member,
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub incarnation: Incarnation,
    pub grant: GrantId,
}

/// A lease of a block; attached to its holder's grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRecord {
    pub holder: Member,
    pub incarnation: Incarnation,
    /// The leader's term that it was leased in.
    pub term: Revision,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    pub accepted: Wall,
}

impl JobRecord {
    pub fn new(spec: JobSpec, accepted: Wall) -> Self {
        Self { spec, accepted }
    }
}

/// How a job ended; written once and never changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverRecord {
    pub state: JobState,
    pub tasks: u32,
}

/// A job's tasks on one machine. The needs stand here as well, so that a cancelled job's
/// tasks still count while they are not proved gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedJob {
    pub job: JobId,
    pub team: TeamId,
    pub need: Amounts,
    pub image: Image,
    pub tasks: Vec<(u32, Attempt)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub addr: String,
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
    pub jobs: Vec<PlacedJob>,
    /// Tasks that completed here and may not stand in their job's own counter yet: this record
    /// has to be written for them anyway, so counting them costs no change of its own. Never
    /// skipped: records also travel between controllers, where each field has its place.
    #[serde(default)]
    pub done: Vec<DoneTasks>,
}

/// Finished tasks of one job, as ranges from first to last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DoneTasks {
    pub job: JobId,
    pub ranges: Vec<(u32, u32)>,
}

impl DoneTasks {
    pub fn tasks(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(first, last)| *first..=*last)
    }

    fn add(&mut self, first: u32, last: u32) {
        let at = self.ranges.partition_point(|(f, _)| *f < first);
        self.ranges.insert(at, (first, last));
        self.ranges.dedup_by(|next, kept| {
            let joined = next.0 <= kept.1.saturating_add(1);
            if joined {
                kept.1 = kept.1.max(next.1);
            }
            joined
        });
    }
}

impl MachineRecord {
    /// A machine on which nothing was placed yet.
    pub fn new(addr: &str, type_name: &TypeName, zone: &Zone, spot: bool) -> Self {
        Self {
            addr: addr.to_owned(),
            type_name: type_name.clone(),
            zone: zone.clone(),
            spot,
            jobs: Vec::new(),
            done: Vec::new(),
        }
    }

    /// Counts finished tasks; those that are counted already change nothing.
    pub fn count(&mut self, job: &JobId, first: u32, last: u32) {
        match self.done.iter_mut().find(|d| d.job == *job) {
            Some(done) => done.add(first, last),
            None => self.done.push(DoneTasks {
                job: job.clone(),
                ranges: vec![(first, last)],
            }),
        }
    }

    /// A bound on the stored size of what was counted here.
    pub fn done_bound(&self) -> usize {
        let size = |d: &DoneTasks| 40 + d.job.as_str().len() + 16 * d.ranges.len();
        self.done.iter().map(size).sum()
    }

    pub fn used(&self) -> Amounts {
        self.jobs.iter().fold(Amounts::default(), |sum, j| {
            sum + j.need.times(j.tasks.len() as u64)
        })
    }

    pub fn runs(&self) -> impl Iterator<Item = (Run, &PlacedJob)> {
        self.jobs.iter().flat_map(|placed| {
            placed.tasks.iter().map(move |(index, attempt)| {
                let run = Run {
                    task: TaskId {
                        job: placed.job.clone(),
                        index: *index,
                    },
                    attempt: *attempt,
                };
                (run, placed)
            })
        })
    }

    pub fn holds(&self, run: &Run) -> bool {
        self.jobs
            .iter()
            .any(|p| p.job == run.task.job && p.tasks.contains(&(run.task.index, run.attempt)))
    }

    pub fn add(&mut self, run: &Run, spec: &JobSpec) {
        let entry = (run.task.index, run.attempt);
        match self.jobs.iter_mut().find(|p| p.job == run.task.job) {
            Some(placed) => placed.tasks.push(entry),
            None => self.jobs.push(PlacedJob {
                job: run.task.job.clone(),
                team: spec.team.clone(),
                need: spec.need(),
                image: spec.image.clone(),
                tasks: vec![entry],
            }),
        }
    }

    pub fn remove(&mut self, run: &Run) {
        for placed in &mut self.jobs {
            if placed.job == run.task.job {
                placed.tasks.retain(|t| *t != (run.task.index, run.attempt));
            }
        }
        self.jobs.retain(|p| !p.tasks.is_empty());
    }

    /// A bound on the stored size, so that a record never outgrows its value.
    pub fn size_bound(&self) -> usize {
        let names: usize = self
            .jobs
            .iter()
            .map(|p| {
                160 + p.job.as_str().len()
                    + p.team.as_str().len()
                    + p.image.as_str().len()
                    + 28 * p.tasks.len()
            })
            .sum();
        let head = self.addr.len() + self.type_name.as_str().len() + self.zone.as_str().len();
        300 + head + names + self.done_bound()
    }
}

/// Plans that were made at about the same time: one change for all of them.
pub type PlanBatch = BTreeMap<JobId, PlanRecord>;

/// A job's plan, written once at acceptance. Its machines are preferred, not binding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanRecord {
    pub type_name: Option<TypeName>,
    pub machines: Vec<MachineId>,
    pub predicted_s: f64,
}

/// Run times of a pipeline's tasks as parts of the estimates, by machine type, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HistoryRecord {
    pub types: BTreeMap<TypeName, Vec<f32>>,
}

/// A part of a completion counter: which tasks are done. A task that reports twice counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    pub fn set(&mut self, bit: u32) {
        let word = (bit / 64) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (bit % 64);
    }

    pub fn get(&self, bit: u32) -> bool {
        self.words
            .get((bit / 64) as usize)
            .is_some_and(|w| w & (1 << (bit % 64)) != 0)
    }

    pub fn count(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }
}

impl Serialize for Bitmap {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let text: String = self.words.iter().map(|w| format!("{w:016x}")).collect();
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Bitmap {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let words = text
            .as_bytes()
            .chunks(16)
            .map(|chunk| {
                std::str::from_utf8(chunk)
                    .ok()
                    .and_then(|c| u64::from_str_radix(c, 16).ok())
                    .ok_or_else(|| serde::de::Error::custom("not a bitmap"))
            })
            .collect::<Result<_, _>>()?;
        Ok(Self { words })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn a_bitmap_is_a_set_and_its_largest_record_fits_a_value(bits in proptest::collection::vec(0u32..8192, 0..300)) {
            let mut bitmap = Bitmap::default();
            let model: BTreeSet<u32> = bits.iter().copied().collect();
            for bit in &bits {
                bitmap.set(*bit);
            }
            let text = serde_json::to_string(&bitmap).expect("json");
            let back: Bitmap = serde_json::from_str(&text).expect("bitmap");
            prop_assert_eq!(&back, &bitmap);
            prop_assert_eq!(bitmap.count() as usize, model.len());
            prop_assert!((0..8192).all(|b| bitmap.get(b) == model.contains(&b)));
            prop_assert!(text.len() <= 8192 / 4 + 2);
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]
        /// The model is a set; ranges stay in order, apart, and as few as can be.
        #[test]
        fn counted_ranges_are_a_set(steps in proptest::collection::vec((0u32..80, 0u32..6), 1..60)) {
            let mut done = DoneTasks { job: "job-1".into(), ranges: Vec::new() };
            let mut model = BTreeSet::new();
            for (first, more) in steps {
                done.add(first, first + more);
                model.extend(first..=first + more);
                prop_assert_eq!(done.tasks().collect::<Vec<_>>(), model.iter().copied().collect::<Vec<_>>());
                prop_assert!(done.ranges.windows(2).all(|w| w[0].1 + 1 < w[1].0));
            }
        }
    }

    #[test]
    fn a_records_size_never_passes_its_bound() {
        let spec = crate::wire::tests::spec("job-00000000000000000001");
        let mut record = MachineRecord::new("10.0.0.1:9000", &"t".into(), &"z".into(), true);
        for index in 0..200 {
            record.count(&spec.id, 90_000 + 2 * index, 90_000 + 2 * index);
            let run = Run {
                task: TaskId {
                    job: spec.id.clone(),
                    index: 99_000 + index,
                },
                attempt: Attempt(u64::MAX >> 4),
            };
            record.add(&run, &spec);
        }
        let size = serde_json::to_vec(&record).expect("json").len();
        assert!(size <= record.size_bound(), "{size}");
    }
}
