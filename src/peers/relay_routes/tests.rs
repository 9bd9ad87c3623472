use super::*;

fn member(name: &str) -> Member {
    Member::from(name)
}

fn hear(routes: &mut Routes, at: u64, from: &str, hears: &[&str], misses: &[&str]) {
    let hears = hears.iter().map(|m| member(m)).collect();
    let misses = misses.iter().map(|m| MachineId::from(*m)).collect();
    routes.on_word(MonotonicTime(at), &member(from), hears, misses);
}

/// c0 in one zone and c1 in another can't reach each other; c2 reaches both.
#[test]
fn a_controller_that_is_not_heard_is_reached_through_one_that_hears_it() {
    let mut routes = Routes::default();
    // At first nothing is known, and messages go straight.
    assert_eq!(routes.through(MonotonicTime(0), &member("c1")), None);
    hear(&mut routes, 100, "c1", &["c0", "c2"], &[]);
    hear(&mut routes, 100, "c2", &["c0", "c1"], &[]);
    assert!(!routes.is_cut(MonotonicTime(200)));
    let at = 100 + FRESH.0;
    hear(&mut routes, at, "c2", &["c0", "c1"], &[]);
    assert_eq!(
        routes.through(MonotonicTime(at), &member("c1")),
        Some(&member("c2"))
    );
    assert!(routes.is_cut(MonotonicTime(at)));
    assert_eq!(routes.hears(MonotonicTime(at)), [member("c2")]);
    // An ended controller is heard by nobody: there is no way, and no cut.
    hear(&mut routes, at + 10, "c2", &["c0"], &[]);
    assert_eq!(routes.through(MonotonicTime(at + 10), &member("c1")), None);
    assert!(!routes.is_cut(MonotonicTime(at + 10)));
}

#[test]
fn only_reports_that_their_holder_may_miss_are_handed_on() {
    let mut routes = Routes::default();
    let (near, far) = (MachineId::from("vm-1"), MachineId::from("vm-2"));
    hear(&mut routes, 50, "c2", &["c0"], &[]);
    hear(&mut routes, 60, "c1", &["c0", "c2"], &["vm-2"]);
    // It hears all controllers and has lost its machines alone.
    assert!(!routes.may_miss(MonotonicTime(70), &member("c1"), &far));
    hear(&mut routes, 100, "c1", &["c0"], &["vm-2"]);
    assert!(!routes.may_miss(MonotonicTime(200), &member("c1"), &near));
    assert!(routes.may_miss(MonotonicTime(200), &member("c1"), &far));
    // Not heard, and not by others either: it has ended.
    assert!(!routes.may_miss(MonotonicTime(9000), &member("c1"), &far));
    // Heard by another alone: whatever it misses, it could not have told.
    hear(&mut routes, 9000, "c2", &["c1"], &[]);
    assert!(routes.may_miss(MonotonicTime(9000), &member("c1"), &near));
}
