//! Stand-ins for the key-value store, the cloud and the workers, in simulated time, and the rules
//! checked against what really runs. Three controllers' decisions run against them under
//! crashes, cuts, lost answers and late copies; seeds are fixed, so every run is the same.

mod cancellations;
mod cluster;
mod completion_interleavings;
mod dependent_days;
mod digest;
mod fault_injection;
mod growth;
mod invariants;
mod partitions;
mod pipelines;
mod stand_ins;
mod upgrade;
mod workload;

use cluster::{
    DisabledGuard, FIVE_CONTROLLERS, Faults, Shape, SimulatedCluster, THREE_CONTROLLERS,
};

fn play(seed: u64, faults: Faults, disabled_guard: DisabledGuard) -> SimulatedCluster {
    play_at(THREE_CONTROLLERS, seed, faults, disabled_guard)
}

fn play_at(
    shape: Shape,
    seed: u64,
    faults: Faults,
    disabled_guard: DisabledGuard,
) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::of_shape(seed, faults, disabled_guard, shape);
    cluster.run(120_000);
    cluster.heal();
    cluster.run(260_000);
    cluster
}

fn assert_kept(cluster: &SimulatedCluster, what: &str) {
    assert!(
        cluster.violations.is_empty(),
        "{what}: {:?}",
        cluster.violations
    );
    assert!(
        cluster.starts > 60,
        "{what}: only {} starts",
        cluster.starts
    );
    let waiting = &cluster.cancelling;
    assert!(waiting.is_empty(), "{what}: never told {waiting:?}");
    let left = cluster.unfinished();
    assert!(left.is_empty(), "{what}: never finished {left:?}");
}

#[test]
fn a_quiet_day_keeps_the_rules_and_finishes_its_work() {
    assert_kept(&play(1, Faults::default(), DisabledGuard::None), "quiet");
}

#[test]
fn rules_hold_while_controllers_crash() {
    let crashes = Faults {
        controller_crashes: true,
        ..Faults::default()
    };
    days_with("crashes", 10..14, crashes);
}

#[test]
fn rules_hold_while_answers_are_lost_and_requests_are_carried_out_late() {
    let losses = Faults {
        lost_responses: true,
        ..Faults::default()
    };
    days_with("losses", 20..24, losses);
}

#[test]
fn rules_hold_while_machines_are_cut_off_hang_and_die() {
    let machines = Faults {
        machine_failures: true,
        ..Faults::default()
    };
    days_with("machines", 30..34, machines);
}

/// Days with one trouble, each on several seeds.
fn days_with(name: &str, seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        assert_kept(
            &play(seed, faults, DisabledGuard::None),
            &format!("{name}, seed {seed}"),
        );
    }
}

#[test]
fn rules_hold_while_machines_report_and_nothing_reaches_them() {
    let deaf = Faults {
        outbound_only_machines: true,
        ..Faults::default()
    };
    days_with("deaf machines", 50..54, deaf);
}

#[test]
fn rules_hold_while_copies_of_reports_come_late() {
    let copies = Faults {
        duplicate_heartbeats: true,
        machine_failures: true,
        ..Faults::default()
    };
    days_with("late copies", 60..64, copies);
}

#[test]
fn rules_hold_while_a_controller_has_only_its_workers() {
    let apart = Faults {
        isolated_controllers: true,
        ..Faults::default()
    };
    days_with("controllers apart", 70..74, apart);
}

/// The controller inside keeps its machines' leases alive, so what was cancelled goes on there
/// until the machine is deleted (hunt 7f89873a).
#[test]
fn rules_hold_while_a_zone_is_cut_off_with_a_controller_in_it() {
    let zone = Faults {
        zone_isolation: true,
        overload: true,
        ..Faults::default()
    };
    days_with("zone", 110..116, zone);
    let crashes = Faults {
        controller_crashes: true,
        ..zone
    };
    days_with("zone and crashes", 116..120, crashes);
}

/// Whatever was decided before, and whatever comes out of full buffers after: the term that was
/// lost meanwhile (`leadership`) and machines silent only to one shard owner (`cloud::fleet`) have tests
/// of their own.
/// The leader alone is refused by the key-value store while others cancel what its machines run,
/// and then nobody is served for longer than a cancellation has (gap day).
#[test]
fn rules_hold_while_cancellations_fall_between_a_refusal_and_an_outage() {
    let gap = Faults {
        refusal_then_outage: true,
        ..Faults::default()
    };
    let mut faults_met = 0;
    for seed in 140..150 {
        let cluster = play(seed, gap, DisabledGuard::None);
        assert_kept(&cluster, &format!("gap, seed {seed}"));
        faults_met += cluster.faults_met;
    }
    assert!(
        faults_met >= 10,
        "cancellations met the gap {faults_met} times"
    );
    let more = Faults {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        overload: true,
        ..gap
    };
    days_with("gap and more", 150..156, more);
}

/// Days whose troubles have to meet, counted, and then with crashes and machines at fault too.
fn days_that_meet(name: &str, seeds: std::ops::Range<u64>, faults: Faults, at_least: u64) {
    let mut faults_met = 0;
    for seed in seeds.clone() {
        let cluster = play(seed, faults, DisabledGuard::None);
        assert_kept(&cluster, &format!("{name}, seed {seed}"));
        faults_met += cluster.faults_met;
    }
    assert!(faults_met >= at_least, "{name}: met {faults_met} times");
    let more = Faults {
        controller_crashes: true,
        machine_failures: true,
        overload: true,
        ..faults
    };
    days_with(&format!("{name} and more"), seeds, more);
}

#[test]
fn rules_hold_while_machines_reach_no_controller_and_commands_reach_them() {
    let mute = Faults {
        inbound_only_machines: true,
        ..Faults::default()
    };
    days_that_meet("mute machines", 160..164, mute, 20);
}

#[test]
fn rules_hold_while_the_state_service_is_slow_and_carries_out_late() {
    let slow = Faults {
        slow_store: true,
        ..Faults::default()
    };
    days_that_meet("slow state service", 170..174, slow, 20);
}

#[test]
fn rules_hold_while_leaders_change_ten_times_in_two_minutes() {
    let leaders = Faults {
        leader_crashes: true,
        ..Faults::default()
    };
    days_that_meet("leaders", 180..184, leaders, 20);
}

#[test]
fn rules_hold_while_all_controllers_are_away_for_longer_than_a_lease() {
    let away = Faults {
        control_plane_outage: true,
        ..Faults::default()
    };
    days_that_meet("all away", 190..194, away, 8);
}

#[test]
fn rules_hold_while_cancellations_meet_the_end_of_a_task() {
    let ends = Faults {
        cancel_at_completion: true,
        ..Faults::default()
    };
    days_that_meet("cancelled at the end", 200..204, ends, 40);
}

/// Five controllers in three zones, of which two can't reach each other: heartbeats and messages go
/// around through the third, and work goes on everywhere.
#[test]
fn rules_hold_while_two_of_three_zones_cannot_reach_each_other() {
    let parted = Faults {
        zone_partition: true,
        ..Faults::default()
    };
    let (mut relayed, mut killed) = (0, [0, 0]);
    for seed in 400..406 {
        let cluster = play_at(FIVE_CONTROLLERS, seed, parted, DisabledGuard::None);
        assert_kept(&cluster, &format!("zones apart, seed {seed}"));
        assert!(cluster.faults_met > 0, "seed {seed}: no zones were apart");
        relayed += cluster.relayed;
        killed[0] += cluster.tasks_lost;
        let without = play_at(FIVE_CONTROLLERS, seed, parted, DisabledGuard::RelayDisabled);
        assert!(without.violations.is_empty(), "{:?}", without.violations);
        killed[1] += without.tasks_lost;
    }
    assert!(relayed > 500, "{relayed} went around");
    println!("lost {killed:?} with and without a way around");
    assert!(killed[0] * 3 <= killed[1], "lost {killed:?}");
    let more = [
        Faults {
            leader_crashes: true,
            ..parted
        },
        Faults {
            refusal_then_outage: true,
            ..parted
        },
        Faults {
            restarts_in_election: true,
            overload: true,
            machine_failures: true,
            ..parted
        },
        Faults {
            control_plane_outage: true,
            cancel_at_completion: true,
            ..parted
        },
    ];
    for (seed, faults) in (406..).zip(more.into_iter().cycle().take(16)) {
        let cluster = play_at(FIVE_CONTROLLERS, seed, faults, DisabledGuard::None);
        assert_kept(
            &cluster,
            &format!("zones apart and {faults:?}, seed {seed}"),
        );
    }
}

#[test]
fn rules_hold_with_five_controllers_in_three_zones_under_everything() {
    for seed in 430..438 {
        let faults = Faults {
            zone_partition: true,
            ..Faults::ALL
        };
        let cluster = play_at(FIVE_CONTROLLERS, seed, faults, DisabledGuard::None);
        assert_kept(&cluster, &format!("all at five, seed {seed}"));
    }
}

#[test]
fn rules_hold_while_controllers_stand_still_and_go_on() {
    let freezes = Faults {
        controller_pauses: true,
        ..Faults::default()
    };
    days_with("freezes", 120..126, freezes);
    let crowd = Faults {
        overload: true,
        machine_failures: true,
        controller_crashes: true,
        ..freezes
    };
    days_with("freezes and crowd", 126..130, crowd);
}

#[test]
fn rules_hold_while_processes_are_back_at_once_in_mid_election() {
    let flaps = Faults {
        restarts_in_election: true,
        ..Faults::default()
    };
    days_with("back at once", 80..84, flaps);
}

#[test]
fn limits_hold_while_leases_run_out_under_overload() {
    let crowd = Faults {
        overload: true,
        machine_failures: true,
        controller_crashes: true,
        ..Faults::default()
    };
    // Those that once broke a limit, or started a task twice, and a few others.
    for seed in [122, 173, 261, 557] {
        days_with("crowd", seed..seed + 1, crowd);
    }
    days_with("crowd", 90..95, crowd);
}

#[test]
fn rules_hold_while_requests_that_were_carried_out_come_again() {
    let repeats = Faults {
        duplicate_requests: true,
        overload: true,
        ..Faults::default()
    };
    days_with("repeats", 100..104, repeats);
    let crashes = Faults {
        controller_crashes: true,
        machine_failures: true,
        ..repeats
    };
    days_with("repeats and crashes", 104..108, crashes);
}

#[test]
fn rules_hold_under_everything_at_once() {
    days_with("all", 40..48, Faults::ALL);
}

/// The checks are worth something only if they see a guard that is missing.
#[test]
fn a_broken_guard_is_caught() {
    // Crashes raise the tokens, which hides what a late command would do.
    let calm = Faults {
        lost_responses: true,
        ..Faults::default()
    };
    let all = Faults {
        controller_crashes: true,
        lost_responses: true,
        machine_failures: true,
        store_disconnects: true,
        ..Faults::default()
    };
    let copies = Faults {
        duplicate_heartbeats: true,
        machine_failures: true,
        ..Faults::default()
    };
    let deaf = Faults {
        outbound_only_machines: true,
        ..Faults::default()
    };
    let repeats = Faults {
        duplicate_requests: true,
        overload: true,
        ..Faults::default()
    };
    let gap = Faults {
        refusal_then_outage: true,
        ..Faults::default()
    };
    for (disabled_guard, faults) in [
        (DisabledGuard::ExitedTasksForgottenAtOnce, repeats),
        (DisabledGuard::LostCallsCountAsUnsent, calm),
        (DisabledGuard::UnconfirmedDeletionsTrusted, all),
        (DisabledGuard::FencesIgnored, all),
        (DisabledGuard::DeletedMachinesAnswer, copies),
        (DisabledGuard::UnreachableMachinesAcknowledge, deaf),
        (DisabledGuard::CancellationConfirmedAtOnce, gap),
        (DisabledGuard::LaunchesIgnoredAfterHeal, calm),
    ] {
        let caught =
            (40..100).find(|seed| !play(*seed, faults, disabled_guard).violations.is_empty());
        println!("{disabled_guard:?} seen with seed {caught:?}");
        assert!(caught.is_some(), "{disabled_guard:?} went unseen");
    }
}

/// Adds one trouble to those of a day.
type AddFault = fn(&mut Faults);

/// Every trouble that days with two of them draw from, with its name.
const SINGLE_FAULTS: [(&str, AddFault); 18] = [
    ("crashes", |t| t.controller_crashes = true),
    ("lost", |t| t.lost_responses = true),
    ("machines", |t| t.machine_failures = true),
    ("cuts", |t| t.store_disconnects = true),
    ("deaf", |t| t.outbound_only_machines = true),
    ("copies", |t| t.duplicate_heartbeats = true),
    ("apart", |t| t.isolated_controllers = true),
    ("flaps", |t| t.restarts_in_election = true),
    ("crowd", |t| t.overload = true),
    ("freezes", |t| t.controller_pauses = true),
    ("zone", |t| t.zone_isolation = true),
    ("repeats", |t| t.duplicate_requests = true),
    ("gap", |t| t.refusal_then_outage = true),
    ("mute", |t| t.inbound_only_machines = true),
    ("slow", |t| t.slow_store = true),
    ("leaders", |t| t.leader_crashes = true),
    ("away", |t| t.control_plane_outage = true),
    ("ends", |t| t.cancel_at_completion = true),
];

/// Every two troubles at once.
fn pairs() -> Vec<(String, Faults)> {
    let mut pairs = Vec::new();
    for (i, (one, set)) in SINGLE_FAULTS.iter().enumerate() {
        for (other, set_other) in &SINGLE_FAULTS[i + 1..] {
            let mut faults = Faults::default();
            set(&mut faults);
            set_other(&mut faults);
            pairs.push((format!("{one} and {other}"), faults));
        }
    }
    pairs
}

/// The seed follows from the pair, so that the pairs don't all meet the same day.
#[test]
fn rules_hold_while_any_two_troubles_meet() {
    for (seed, (name, faults)) in (300..).zip(pairs()) {
        days_with(&name, seed..seed + 1, faults);
    }
}

/// The first seed of the search through pairs, and how many seeds each pair gets.
const SEARCH_BEGINS: u64 = 10_000;
const SEEDS_OF_A_PAIR: u64 = 20;

/// All that the stand-in's cloud has to give was held by idle spot machines, which the gang that
/// waited must not use: nothing is returned while something waits, so it waited for ever.
#[test]
fn idle_machines_go_when_a_gang_waits_for_what_the_cloud_could_give_instead() {
    assert_searched_day_is_kept(10_999, "cuts and copies");
}

/// Days on which records of deleted machines come back with repeated transactions, and one on
/// which controllers stand still while a machine is deaf: the search failed on them before its
/// checks allowed for that.
#[test]
fn rules_hold_on_days_that_the_search_has_failed_on() {
    for seed in [10_832, 10_835, 10_837, 10_838] {
        assert_searched_day_is_kept(seed, "machines and repeats");
    }
    assert_searched_day_is_kept(11_335, "deaf and freezes");
    for seed in [11_366, 11_368] {
        assert_searched_day_is_kept(seed, "deaf and repeats");
    }
    assert_searched_day_is_kept(12_516, "zone and repeats");
}

/// Days on which machines are deleted while nobody leads: their records take the longest to go.
#[test]
fn records_of_machines_that_were_deleted_without_a_leader_go_once_all_is_well() {
    assert_searched_day_is_kept(12_045, "flaps and gap");
    assert_searched_day_is_kept(12_839, "gap and away");
}

/// Plays a day of the search once more.
fn assert_searched_day_is_kept(seed: u64, expected: &str) {
    let pair = (seed - SEARCH_BEGINS) / SEEDS_OF_A_PAIR;
    let (name, faults) = pairs().into_iter().nth(pair as usize).expect("a pair");
    assert_eq!(name, expected);
    let cluster = play(seed, faults, DisabledGuard::None);
    assert_kept(&cluster, &format!("{name}, seed {seed}"));
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn many_seeds_of_any_two_troubles() {
    let mut violations = Vec::new();
    for (n, (name, faults)) in (0..).zip(pairs()) {
        let first = SEARCH_BEGINS + SEEDS_OF_A_PAIR * n;
        for seed in first..first + SEEDS_OF_A_PAIR {
            let cluster = play(seed, faults, DisabledGuard::None);
            let (waiting, left) = (&cluster.cancelling, cluster.unfinished());
            if !cluster.violations.is_empty() || !waiting.is_empty() || !left.is_empty() {
                let rules = cluster.violations.first();
                violations.push(format!(
                    "{name}, seed {seed}: {rules:?} {waiting:?} {left:?}"
                ));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn many_seeds_of_everything_at_once() {
    days_with("all", 1000..1200, Faults::ALL);
}
