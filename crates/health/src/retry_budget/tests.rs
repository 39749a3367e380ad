use super::*;

#[test]
fn retries_of_all_proxies_together_stay_within_the_limit() {
    let policy = RetryPolicy { ratio: 0.2, allowance: 56.0, proxies: 8.0 };
    let mut budgets = vec![RetryBudget::full(&policy); 8];
    let mut retries = 0;
    for _ in 0..125 {
        for budget in &mut budgets {
            budget.record_request(&policy);
            while budget.try_spend() {
                retries += 1;
            }
        }
    }
    assert!(f64::from(retries) <= 0.2 * 1000.0 + 56.0, "{retries}");
    assert!(retries >= 150);
}
