//! Simulated days on which users submit pipelines, and on which controllers are upgraded.

use super::assert_kept;
use super::pipelines::PipelineCounts;
use super::world::{Breakage, FIVE, SMALL, Shape, Trouble, World};

const PIPELINES: Trouble = Trouble {
    pipelines: true,
    ..Trouble::NONE
};

/// Jobs that need one another end one after the other: the longest chains on these days take some
/// minutes once all is well.
const END: u64 = 340_000;

fn play_at(shape: Shape, seed: u64, trouble: Trouble, breakage: Breakage) -> World {
    let mut world = super::play_at(shape, seed, trouble, breakage);
    world.run(END);
    world
}

/// Plays a day on each seed and sums up what became of the dependent jobs.
fn days(name: &str, shape: Shape, seeds: std::ops::Range<u64>, trouble: Trouble) -> PipelineCounts {
    let mut sum = PipelineCounts::default();
    for seed in seeds {
        let world = play_at(shape, seed, trouble, Breakage::None);
        assert_kept(&world, &format!("{name}, seed {seed}"));
        sum.add(&world.pipelines);
    }
    println!("{name}: {sum:?}");
    sum
}

fn assert_met(counts: &PipelineCounts) {
    assert!(counts.waited >= 10, "{counts:?}");
    assert!(counts.released >= 5, "{counts:?}");
    assert!(
        counts.cancelled_at_once + counts.cancelled_with >= 3,
        "{counts:?}"
    );
}

#[test]
fn pipelines_finish_in_their_order_on_a_quiet_day() {
    let counts = days("quiet pipelines", SMALL, 500..504, PIPELINES);
    assert_met(&counts);
    // Nobody is told of a cancellation while something that needs the job still waits.
    assert_eq!(counts.left_when_told, 0);
}

/// Each trouble alone, with pipelines all day.
#[test]
fn rules_hold_for_pipelines_under_each_trouble() {
    let mut sum = PipelineCounts::default();
    for (seed, (name, set)) in (510..).step_by(4).zip(super::SINGLE_TROUBLES) {
        let mut trouble = PIPELINES;
        set(&mut trouble);
        let counts = days(name, SMALL, seed..seed + 3, trouble);
        assert!(counts.waited >= 10 && counts.released >= 5, "{counts:?}");
        sum.add(&counts);
    }
    assert!(sum.cancelled_with >= 100, "{sum:?}");
}

#[test]
fn rules_hold_for_pipelines_under_everything_at_once() {
    let all = Trouble {
        pipelines: true,
        ..Trouble::ALL
    };
    let mut sum = days("pipelines and all", SMALL, 600..606, all);
    let parted = Trouble {
        partition: true,
        ..all
    };
    sum.add(&days("pipelines at five", FIVE, 606..610, parted));
    assert_met(&sum);
}

/// Leaders change while children are accepted, released and allotted, and jobs that others need
/// are cancelled as they end.
#[test]
fn rules_hold_for_pipelines_while_leaders_change_and_parents_are_cancelled_at_their_end() {
    let trouble = Trouble {
        leaders: true,
        ends: true,
        flaps: true,
        lost_answers: true,
        ..PIPELINES
    };
    assert_met(&days("leaders and ends", SMALL, 620..628, trouble));
}

const UPGRADE: Trouble = Trouble {
    upgrade: true,
    limits: true,
    ..PIPELINES
};

fn upgrade_days(name: &str, shape: Shape, seeds: std::ops::Range<u64>, trouble: Trouble) {
    let (mut upgraded, mut put_off, mut lowered) = (0, 0, 0);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let world = play_at(shape, seed, trouble, Breakage::None);
        assert_kept(&world, &format!("{name}, seed {seed}"));
        upgraded += world.nodes.iter().filter(|n| !n.earlier).count();
        put_off += world.pipelines.put_off;
        lowered += u64::from(world.store.limits.is_some());
    }
    assert_eq!(upgraded, shape.members * count as usize, "{name}");
    assert_eq!(lowered, count, "{name}");
    assert!(put_off > 0, "{name}: nothing was asked too soon");
}

/// Both versions serve, either may lead, and the limits fall. What only the later version
/// understands is put off until all have it.
#[test]
fn rules_hold_while_controllers_are_upgraded_and_the_limits_fall() {
    upgrade_days("upgrade", SMALL, 640..646, UPGRADE);
    upgrade_days("upgrade of five", FIVE, 646..648, UPGRADE);
    let leaders = Trouble {
        leaders: true,
        flaps: true,
        ..UPGRADE
    };
    upgrade_days("upgrade and leaders", SMALL, 650..654, leaders);
    let machines = Trouble {
        crashes: true,
        machines: true,
        crowd: true,
        ..UPGRADE
    };
    upgrade_days("upgrade and machines", SMALL, 654..660, machines);
    let late = Trouble {
        lost_answers: true,
        repeats: true,
        slow: true,
        ..UPGRADE
    };
    upgrade_days("upgrade and late effects", SMALL, 660..664, late);
    let gap = Trouble {
        gap: true,
        ends: true,
        store_cuts: true,
        ..UPGRADE
    };
    upgrade_days("upgrade and gap", SMALL, 664..668, gap);
}

/// Once the limits have fallen nothing of this version is refused for its size again and again.
#[test]
fn little_is_refused_for_its_size_once_the_limits_have_fallen() {
    for seed in 670..674 {
        let crowd = Trouble {
            crowd: true,
            ..UPGRADE
        };
        let world = play_at(SMALL, seed, crowd, Breakage::None);
        assert_kept(&world, &format!("limits, seed {seed}"));
        let refused = world.store.too_large;
        assert!(refused <= 20, "seed {seed}: refused {refused} times");
    }
}

/// The checks are worth something only if they see a guard that is missing.
#[test]
fn a_broken_guard_of_dependent_jobs_is_caught() {
    for (breakage, trouble, rule) in [
        (Breakage::DependenciesIgnored, PIPELINES, "too_early"),
        (Breakage::MissingCountsAsDone, PIPELINES, "too_early"),
        (Breakage::DependentsKept, PIPELINES, "orphaned"),
        (Breakage::OldVersionsTrusted, UPGRADE, "too_early"),
    ] {
        let breaks = |seed: &u64| {
            let world: World = play_at(SMALL, *seed, trouble, breakage);
            world.broken.iter().any(|b| b.starts_with(rule))
        };
        let caught = (680..700).find(breaks);
        println!("{breakage:?} seen with seed {caught:?}");
        assert!(caught.is_some(), "{breakage:?} went unseen");
    }
}
