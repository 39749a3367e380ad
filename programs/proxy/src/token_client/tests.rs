use super::*;
use vanewharf_policy::interface::TxnId;

#[test]
fn waiting_requests_precede_prefetches_and_a_missing_answer_is_not_a_refusal() {
    let tenant: Rc<str> = Rc::from("t");
    let request = |waiting: Option<u64>, prefetch| TokenRequest {
        waiting: waiting.map(TxnId),
        tenant: Rc::clone(&tenant),
        prefetch,
    };
    let batch = [request(None, 3), request(Some(1), 2), request(Some(2), 0)];
    let leased = |tokens| Some(TokenCounts::from([("t".to_owned(), tokens)]));
    let answered = |txn, answer| WaitingAnswer { txn: TxnId(txn), answer };
    let grants = distribute(&batch, leased(4));
    assert_eq!(grants.waiting, [answered(1, TokenAnswer::Granted), answered(2, TokenAnswer::Granted)]);
    assert_eq!(grants.prefetched.iter().map(|prefetched| prefetched.tokens).collect::<Vec<_>>(), [2, 0]);
    let grants = distribute(&batch, leased(1));
    assert_eq!(grants.waiting, [answered(1, TokenAnswer::Granted), answered(2, TokenAnswer::Refused)]);
    let unanswered = distribute(&batch, None);
    assert_eq!(unanswered.waiting, [answered(1, TokenAnswer::NoAnswer), answered(2, TokenAnswer::NoAnswer)]);
}
