//! Questions about jobs that have ended, while requests to the key-value store are scarce.
//!
//! The story. Five controllers used up nearly all the requests that each may send to the key-value
//! store. A short job was accepted and ran; for eight seconds after its task had ended, its polls
//! said that it was queued. From then on each poll of it, at any controller, was answered with 503,
//! most within some ten milliseconds, for more than eighty seconds, while polls of other jobs were
//! answered. Then all controllers were restarted at once, and its polls went on failing: an accepted
//! job was forgotten.
//!
//! The cause: a right to be answered in one path and not in another. A poll of a live job is
//! compared in a batch, again and again, each time with a larger part of the rate limit. A poll of a
//! job that has ended took two reads of the class that is held back first, and neither was tried
//! again. Where many ask, each new question takes the token that the second read of an earlier one
//! would have needed, so reads are paid for and nobody is answered.
//!
//! The evidence. In three seconds after the restart the store served 130 requests a second, of 200
//! that it allows, and refused none that was recorded. Two controllers had sent 36 and 18 single
//! reads that found nothing, and the records show none of theirs that found a final state. In a trial
//! on a simulated cluster under the same faults 590 of 3,596 lookups of jobs outside the watch cache
//! got no answer, all of them while the store was up, and none of the comparisons. Here, before the
//! repair, 14,002 polls of live jobs were answered and 100 were not; of jobs that had ended, 36 were
//! and 5,248 were not.

mod random_loads;

use crate::api::tests::busy_cluster::Load;
use crate::api::tests::users::{FORGOTTEN_AFTER, Question, ask_about_ended_jobs};
use random_loads::{search, soak, soak_widely};

const ENDED_JOBS: usize = 200;
/// So many that their reads take several times as long as users wait for an answer.
const MANY_ENDED_JOBS: usize = 800;
/// A site of 4,000 machines ends so many in a few minutes.
const THOUSANDS_OF_ENDED_JOBS: usize = 3000;

fn assert_all_answered(questions: &'static [Question]) {
    let outcome = ask_about_ended_jobs(Load::default(), questions, ENDED_JOBS);
    outcome.assert_answered(ENDED_JOBS, "");
}

#[test]
fn polls_of_ended_jobs_are_answered_however_much_placements_ask() {
    assert_all_answered(&[Question::Poll]);
}

#[test]
fn repeated_submissions_of_ended_jobs_are_answered_however_much_placements_ask() {
    assert_all_answered(&[
        Question::RepeatedSubmission,
        Question::IncompleteRepetition,
        Question::InfeasibleRepetition,
    ]);
}

#[test]
fn cancellations_and_dependents_of_ended_jobs_are_answered_however_much_placements_ask() {
    assert_all_answered(&[
        Question::Cancellation,
        Question::DependentSubmission,
        Question::FinalOutcome,
    ]);
}

/// Questions about many ended jobs take neither from ends of jobs nor from the users of live ones.
#[test]
fn questions_about_ended_jobs_leave_requests_for_ends_and_live_jobs() {
    let without = ask_about_ended_jobs(Load::default(), &[Question::Poll], 0);
    let with = ask_about_ended_jobs(Load::default(), &[Question::Poll], MANY_ENDED_JOBS);
    let ends = (without.written_ends, with.written_ends);
    assert!(ends.1 * 100 >= ends.0 * 95, "ends {ends:?}");
    let live = (without.live, with.live);
    assert!(live.1.answered * 100 >= live.0.answered * 98, "{live:?}");
    assert!(live.1.longest_silence < FORGOTTEN_AFTER, "{live:?}");
    // So many at once, right after all controllers have restarted, have to wait their turn.
    assert!(
        with.ended.longest_silence < FORGOTTEN_AFTER,
        "{:?}",
        with.ended
    );
    assert_eq!(with.ended.answered, MANY_ENDED_JOBS);
}

/// What happens: after a restart of all controllers the users of 3,000 ended jobs ask at once, and the
/// last one waits 76.8 s. Why: one request reads one job. What showed it: 3,019 reads that the store
/// answered and 498 that it refused (429), for 3,000 users; only 19 jobs were read at two controllers
/// and no read answered nobody. That is 46 requests a second, and the reserve of all controllers gives
/// 26, or 78 for those who have waited long: no other order of reads would have been in time.
#[test]
fn questions_about_thousands_of_ended_jobs_are_answered_in_time() {
    let without = ask_about_ended_jobs(Load::default(), &[Question::Poll], 0);
    let with = ask_about_ended_jobs(Load::default(), &[Question::Poll], THOUSANDS_OF_ENDED_JOBS);
    let ends = (without.written_ends, with.written_ends);
    assert!(ends.1 * 100 >= ends.0 * 95, "ends {ends:?}");
    let live = (without.live, with.live);
    assert!(live.1.answered * 100 >= live.0.answered * 98, "{live:?}");
    with.assert_answered(THOUSANDS_OF_ENDED_JOBS, "");
}

#[test]
fn questions_about_ended_jobs_are_answered_under_random_loads() {
    for seed in 0..12 {
        soak(seed);
    }
}

/// Found by the search below: placements ask for more than there is, and the store is away for 8.5 of
/// each 30 seconds. A repeated submission is refused at once like a new one, each time, for 86 s: by
/// the outage, by the store's rate, or by the limiter at its write.
#[test]
fn repeated_submissions_are_answered_under_overload_and_outages() {
    soak(1874);
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn search_many_random_loads_for_unanswered_questions() {
    for seed in 0..2000 {
        soak(seed);
    }
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn search_further_random_loads_for_unanswered_questions() {
    search(2000..4000, soak);
}

#[test]
fn questions_are_answered_under_wider_random_loads() {
    for seed in 0..3 {
        soak_widely(seed);
    }
}

#[test]
#[ignore = "a search through many seeds, run by hand"]
fn search_wider_random_loads_for_unanswered_questions() {
    search(0..1000, soak_widely);
}
