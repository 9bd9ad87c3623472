use super::*;
use crate::config::tests::sample_config;
use crate::ids::{Revision, UnixTime};
use crate::protocol::Catalog;
use crate::protocol::store::KeyValue;
use crate::store::keys;
use crate::store::records::{HistoryRecord, JobRecord};
use serde_json::json;

struct PipelineFixture {
    cache: WatchCache,
    revision: u64,
}

impl PipelineFixture {
    fn new() -> Self {
        let mut fixture = Self {
            cache: WatchCache::new(&sample_config()),
            revision: 0,
        };
        let machine_type = |name: &str, cores: u32| {
            json!({"name": name, "cores": cores, "cards": 0, "memory_gb": 64, "cache_gb": 50,
                   "fetch_gb_per_s": 1.0, "price": 1.0, "low_price": 0.4, "startup_s": 4,
                   "berths": ["a"]})
        };
        let catalog = json!({"hulls": [machine_type("small", 4), machine_type("large", 16)]});
        let catalog: Catalog = serde_json::from_value(catalog).expect("catalog");
        fixture.put(keys::CATALOG.to_owned(), json!(catalog));
        fixture
    }

    fn put(&mut self, key: String, value: serde_json::Value) {
        self.revision += 1;
        self.cache.load(KeyValue {
            key,
            value,
            revision: Revision(self.revision),
            lease: None,
        });
    }

    /// Accepts a job and plans it. The name of its pipeline is derived from its id.
    fn accept(&mut self, id: &str, tasks: u32, parents: &[&str]) -> Vec<(JobId, PlanRecord)> {
        let mut spec = crate::protocol::tests::spec(id);
        spec.pipeline = format!("p-{id}").as_str().into();
        spec.tasks = tasks;
        spec.dependencies = parents.iter().map(|p| JobId::from(*p)).collect();
        let record = JobRecord::new(spec, UnixTime(0));
        self.put(keys::job(&id.into()), json!(record));
        let plans = plan_job(&id.into(), &self.cache);
        for (planned, plan) in &plans {
            assert!(self.cache.set_plan(planned, plan.clone()));
        }
        plans
    }

    /// Writes the history of a job's pipeline: ratios of run time to estimate on each machine type.
    fn history(&mut self, id: &str, small: f32, large: f32) {
        let mut record = HistoryRecord::default();
        record
            .run_time_ratios
            .insert("small".into(), vec![small; 3]);
        record
            .run_time_ratios
            .insert("large".into(), vec![large; 3]);
        let pipeline = format!("p-{id}").as_str().into();
        self.put(keys::history(&pipeline), json!(record));
    }
}

fn joined_parent_id(plans: &[(JobId, PlanRecord)], id: &str) -> Option<String> {
    let plan = plans.iter().find(|(planned, _)| planned.as_str() == id);
    let joined = plan.and_then(|(_, p)| p.placement_group_job.as_ref());
    joined.map(|parent| parent.as_str().to_owned())
}

#[test]
fn child_joins_the_group_of_its_parent_with_the_largest_output() {
    let mut fixture = PipelineFixture::new();
    assert_eq!(
        joined_parent_id(&fixture.accept("job-1", 3, &[]), "job-1"),
        None
    );
    let only = fixture.accept("job-2", 9, &["job-1"]);
    assert_eq!(joined_parent_id(&only, "job-2").as_deref(), Some("job-1"));
    fixture.accept("job-3", 2, &[]);
    let joined = fixture.accept("job-4", 1, &["job-2", "job-3"]);
    assert_eq!(joined_parent_id(&joined, "job-4").as_deref(), Some("job-2"));
    // Unknown jobs, and jobs that have a final state, are ignored.
    let late = fixture.accept("job-5", 1, &["job-9"]);
    assert_eq!(joined_parent_id(&late, "job-5"), None);
}

/// A job gets the strongest type while it is on the critical path, and a weaker one once a later child
/// makes another path critical. Jobs that already run keep their plans.
#[test]
fn jobs_off_the_critical_path_get_weaker_types_and_waiting_jobs_are_replanned() {
    let mut fixture = PipelineFixture::new();
    fixture.history("job-2", 4.0, 2.0);
    fixture.history("job-4", 9.0, 5.0);
    let short_ones = ["job-3", "job-5", "job-6", "job-7", "job-8", "job-9"];
    for id in short_ones {
        fixture.history(id, 0.8, 0.4);
    }
    let name = |plans: &[(JobId, PlanRecord)], id: &str| {
        let plan = plans.iter().find(|(planned, _)| planned.as_str() == id);
        plan.and_then(|(_, p)| p.type_name.as_ref().map(|t| t.as_str().to_owned()))
    };
    fixture.accept("job-1", 1, &[]);
    let long = fixture.accept("job-2", 1, &["job-1"]);
    assert_eq!(name(&long, "job-2").as_deref(), Some("large"));
    // With two children, the longer one no longer joins its parent's group.
    let short = fixture.accept("job-3", 1, &["job-1"]);
    assert_eq!(name(&short, "job-3").as_deref(), Some("large"));
    assert_eq!(joined_parent_id(&short, "job-3").as_deref(), Some("job-1"));
    assert_eq!(
        joined_parent_id(&short, "job-2"),
        None,
        "replanned: it is the longer one"
    );
    for id in &short_ones[1..] {
        fixture.accept(id, 1, &["job-1"]);
    }
    // A longer path through another child: the group of job 2 and of the short jobs that did not fit
    // into their parent's group is no longer on the critical path, and gets the weaker type.
    let longest = fixture.accept("job-4", 1, &["job-1"]);
    assert_eq!(name(&longest, "job-4").as_deref(), Some("large"));
    assert_eq!(name(&longest, "job-2").as_deref(), Some("small"));
    let planned: Vec<&str> = longest.iter().map(|(id, _)| id.as_str()).collect();
    assert!(
        !planned.contains(&"job-1"),
        "job-1 is running, so it is not replanned"
    );
}

/// Only a limited part of a large pipeline is planned with each job.
#[test]
fn planning_is_bounded_for_a_large_pipeline() {
    let mut fixture = PipelineFixture::new();
    fixture.accept("job-0", 1, &[]);
    for n in 1..300 {
        let (id, parent) = (format!("job-{n}"), format!("job-{}", n - 1));
        fixture.accept(&id, 1, &[&parent]);
    }
    assert_eq!(
        pipeline_members(&"job-299".into(), &fixture.cache).len(),
        MAX_JOBS_PER_PLAN
    );
    let plan = fixture.cache.plan(&"job-299".into()).expect("plan");
    assert_eq!(
        plan.placement_group_job.as_ref().map(|j| j.as_str()),
        Some("job-298")
    );
}
