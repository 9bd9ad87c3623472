use super::*;
use crate::ids::{AttemptNumber, TaskAttempt, TaskId};

/// The tasks for which bytes were reserved fit into the stored value together with their final
/// states, whatever the mix of jobs.
#[test]
fn reserved_tasks_fit_into_the_value() {
    for (value_bytes, jobs) in [(2048, 1), (2048, 40), (8192, 3), (1024, 40)] {
        let mut record = MachineRecord::new("10.0.0.1:9000", &"t".into(), &"z".into(), true);
        let mut capacity = RecordCapacity::new(&record, value_bytes, 0, 0);
        let mut placed = 0;
        for n in 0..400u32 {
            let mut spec = crate::protocol::tests::spec("job-000001");
            spec.id = format!("job-{:06}", n / (400 / jobs)).as_str().into();
            if !capacity.try_reserve(&spec) {
                break;
            }
            let task = TaskId {
                job: spec.id.clone(),
                index: n,
            };
            let attempt_number = AttemptNumber(9_999_999_999_999_999);
            record.add(
                &TaskAttempt {
                    task,
                    number: attempt_number,
                },
                &spec,
            );
            placed += 1;
        }
        let most = MachineRecord::max_placement_bytes(value_bytes);
        let size = serde_json::to_vec(&record).expect("json").len();
        assert!(placed >= 3 && size <= most, "{placed} tasks, {size} bytes");
        assert!(2 * size > most, "{size} of {most} bytes used");
    }
}
