//! The bounds on open requests and on buffered bytes.
use super::*;

#[test]
fn either_bound_exceeded_rejects_with_spread_retry_after() {
    let budget = RequestBudget::new(10, 1_000);
    assert_eq!(budget.decide(9, 999, || 0.9), BudgetDecision::Admit);
    for (open, buffered) in [(10, 0), (0, 1_000), (11, 2_000)] {
        let retry_after = |random| match budget.decide(open, buffered, || random) {
            BudgetDecision::Reject { retry_after } => retry_after,
            BudgetDecision::Admit => panic!("{open} open and {buffered} bytes buffered"),
        };
        assert_eq!(
            (retry_after(0.0), retry_after(1.0)),
            (MIN_RETRY_AFTER_US, 2 * MIN_RETRY_AFTER_US)
        );
    }
}
