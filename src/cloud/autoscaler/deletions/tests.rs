use super::*;

const NOW: MonotonicTime = MonotonicTime(100_000);

fn machine(number: usize) -> MachineId {
    MachineId::from(format!("vm-{number:06}").as_str())
}

#[test]
fn deletion_is_retried_until_it_is_confirmed() {
    let mut deletions = Deletions::default();
    let id = machine(1);
    deletions.request(NOW, id.clone());
    assert_eq!(deletions.take_due(NOW), std::slice::from_ref(&id));
    assert!(
        deletions.take_due(NOW).is_empty(),
        "the response is outstanding"
    );
    assert_eq!(
        deletions.take_due(NOW + DELETION_TIMEOUT),
        std::slice::from_ref(&id)
    );
    deletions.retry(NOW, &id);
    assert_eq!(
        deletions.take_due(NOW + DELETION_RETRY_DELAY),
        std::slice::from_ref(&id)
    );
    deletions.confirm(NOW, &id);
    assert!(!deletions.is_pending(&id) && deletions.is_confirmed(&id));
}

#[test]
fn deleted_machine_is_not_deleted_again_until_its_confirmation_expires() {
    let mut deletions = Deletions::default();
    let id = machine(1);
    deletions.confirm(NOW, &id);
    deletions.request(NOW, id.clone());
    assert!(!deletions.is_pending(&id));
    deletions.expire_confirmed(NOW + DELETED_EXPIRY);
    assert!(!deletions.is_confirmed(&id));
    deletions.request(NOW, id.clone());
    assert!(deletions.is_pending(&id));
}

#[test]
fn one_call_deletes_a_bounded_number_of_machines() {
    let mut deletions = Deletions::default();
    for number in 0..=MAX_DELETIONS_PER_CALL {
        deletions.request(NOW, machine(number));
    }
    assert_eq!(deletions.take_due(NOW).len(), MAX_DELETIONS_PER_CALL);
    assert_eq!(deletions.take_due(NOW).len(), 1);
}
