use super::*;

/// Guards against sockets and memory that backends which reply early and never read on would use up.
#[test]
fn requests_are_sent_to_their_end_after_an_early_reply_only_within_bounds() {
    let resources = Rc::new(Resources::new(ResourceLimits::within(64, 64)));
    let unfinished: Vec<_> = std::iter::from_fn(|| resources.try_track_unfinished_request()).collect();
    assert_eq!(unfinished.len(), MAX_UNFINISHED_REQUESTS);
    assert!(!resources.is_drained());
    drop(unfinished);
    assert!(resources.is_drained());

    let mut sockets = Vec::new();
    while !resources.should_close_idle() {
        sockets.push(SocketGuard::new(&resources, SocketKind::Upstream));
    }
    assert!(resources.try_track_unfinished_request().is_none(), "sockets are short");
    sockets.pop();
    assert!(resources.try_track_unfinished_request().is_some());
}
