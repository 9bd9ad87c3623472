//! Tests of the scheduler's decisions on small clusters.

mod gangs;
mod limits;
mod machine_choice;
mod machine_health;
mod preemption;
mod queue_order;
mod test_cluster;
