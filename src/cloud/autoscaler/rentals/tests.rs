use super::*;

const NOW: MonotonicTime = MonotonicTime(100_000);

fn offer(zone: &str) -> MachineOffer {
    MachineOffer {
        type_name: "t8".into(),
        zone: zone.into(),
        spot: true,
    }
}

/// Returns the rentals of a term with one request that has been sent, and the name of that request.
fn rentals_with_one_sent_request() -> (Rentals, String) {
    let mut rentals = Rentals::default();
    rentals.begin_term(Revision(7));
    rentals.add(NOW, offer("a"), 3);
    let sent = rentals.take_due(NOW);
    assert_eq!(sent.len(), 1);
    (rentals, sent[0].request.clone())
}

#[test]
fn request_is_sent_once_and_returns_its_machines() {
    let (mut rentals, name) = rentals_with_one_sent_request();
    assert!(rentals.take_due(NOW + RENTAL_EXPIRY).is_empty());
    assert!(!rentals.may_request(&offer("a")));
    let outcome = RentOutcome::Rented(vec!["vm-1".into()]);
    let rented = rentals.on_outcome(NOW, &name, outcome).expect("rented");
    assert_eq!(rented.machines, ["vm-1".into()]);
    assert_eq!((rented.offer, rented.decided_at), (offer("a"), NOW));
    assert!(rentals.may_request(&offer("a")));
}

#[test]
fn refused_request_is_retried_under_the_same_name_until_it_expires() {
    let (mut rentals, name) = rentals_with_one_sent_request();
    assert!(rentals.on_outcome(NOW, &name, RentOutcome::Again).is_none());
    assert!(rentals.take_due(NOW).is_empty());
    let repeated = rentals.take_due(NOW + RENTAL_RETRY_DELAY);
    assert_eq!((&repeated[0].request, repeated[0].count), (&name, 3));
    let late = NOW + RENTAL_EXPIRY + Millis(1);
    assert!(
        rentals
            .on_outcome(late, &name, RentOutcome::Again)
            .is_none()
    );
    assert_eq!(rentals.pending().count(), 0);
}

#[test]
fn offer_without_capacity_is_not_requested_until_its_backoff_is_over() {
    let (mut rentals, name) = rentals_with_one_sent_request();
    rentals.on_outcome(NOW, &name, RentOutcome::NoCapacity);
    rentals.expire_refusals(NOW + Millis(NO_CAPACITY_BACKOFF.0 - 1));
    assert!(!rentals.may_request(&offer("a")));
    assert!(rentals.may_request(&offer("b")));
    rentals.expire_refusals(NOW + NO_CAPACITY_BACKOFF);
    assert!(rentals.may_request(&offer("a")));
}

#[test]
fn names_differ_between_terms_and_answers_to_earlier_terms_are_ignored() {
    let (mut rentals, first) = rentals_with_one_sent_request();
    rentals.begin_term(Revision(8));
    rentals.add(NOW, offer("a"), 1);
    let second = rentals.take_due(NOW)[0].request.clone();
    assert_ne!(first, second);
    let outcome = RentOutcome::Rented(vec!["vm-1".into()]);
    assert!(rentals.on_outcome(NOW, &first, outcome).is_none());
    assert_eq!(rentals.pending().count(), 1);
}
