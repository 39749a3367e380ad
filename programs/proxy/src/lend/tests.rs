use super::*;
use vanewharf_policy::interface::TxnId;

#[test]
fn those_who_wait_come_before_lots_and_silence_is_no_refusal() {
    let tenant: Rc<str> = Rc::from("t");
    let ask = |txn: Option<u64>, more| Ask { txn: txn.map(TxnId), tenant: Rc::clone(&tenant), more };
    let asks = [ask(None, 3), ask(Some(1), 2), ask(Some(2), 0)];
    let given = |tokens| Some(TokenCounts::from([("t".to_owned(), tokens)]));
    let loans = shared_out(&asks, given(4));
    assert_eq!(loans.asked, [(TxnId(1), Some(true)), (TxnId(2), Some(true))]);
    assert_eq!(loans.ahead.iter().map(|(_, tokens)| *tokens).collect::<Vec<_>>(), [2, 0]);
    let loans = shared_out(&asks, given(1));
    assert_eq!(loans.asked, [(TxnId(1), Some(true)), (TxnId(2), Some(false))]);
    assert_eq!(shared_out(&asks, None).asked, [(TxnId(1), None), (TxnId(2), None)]);
}
