use super::RetryBudget;

#[test]
fn the_budget_allows_two_retries_per_five_requests() {
    let mut budget = RetryBudget::new();
    while budget.has(1.0) {
        budget.take_one();
    }
    let mut retries = 0;
    for _ in 0..500 {
        budget.on_request();
        if budget.has(1.0) {
            budget.take_one();
            retries += 1;
        }
    }
    assert!((199..=201).contains(&retries), "{retries}");
}

#[test]
fn the_budget_holds_at_most_five_retries() {
    let mut budget = RetryBudget::new();
    for _ in 0..1000 {
        budget.on_request();
    }
    let mut saved = 0;
    while budget.has(1.0) {
        budget.take_one();
        saved += 1;
    }
    assert_eq!(saved, 5);
}
