use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(21), failure_persistence: None, ..ProptestConfig::default() })]
    /// The model admits one task at a time and recomputes the team's usage for each.
    #[test]
    fn tasks_within_limit_agree_with_one_by_one_admission(
        steps in proptest::collection::vec((0usize..2, 1u64..9, 0u64..3), 1..30))
    {
        let config = crate::config::tests::sample_config();
        let teams: Vec<TeamId> = config.teams.keys().cloned().collect();
        let mut quota_usage = QuotaUsage::new(&config.teams, BTreeMap::new());
        let mut log: Vec<(TeamId, Resources)> = Vec::new();
        for (team, cpus, memory) in steps {
            let team = &teams[team];
            let need = Resources { milli_cpus: cpus * 1000, milli_gpus: 0, memory_mb: memory * 50_000 };
            let used = |log: &[(TeamId, Resources)]| -> u64 {
                log.iter().filter(|(t, _)| t == team).map(|(_, a)| a.milli_cpus).sum()
            };
            let mut model = 0;
            while used(&log) + (model + 1) * need.milli_cpus <= config.teams[team].limit().milli_cpus {
                model += 1;
            }
            prop_assert_eq!(quota_usage.tasks_within_limit(team, need), model);
            if model > 0 {
                quota_usage.charge(team, need);
                log.push((team.clone(), need));
            }
            prop_assert_eq!(quota_usage.used(team).milli_cpus, used(&log));
        }
    }
}
