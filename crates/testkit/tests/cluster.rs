//! Tests of a cluster on loopback under the faults and changes that it must tolerate.

use serde_json::{Value, json};
use vanewharf_protocol::endpoints;
use vanewharf_protocol::messages::Membership;
use vanewharf_testkit::backend::Behavior;
use vanewharf_testkit::cluster::{CONTROLLERS, TestCluster};
use vanewharf_testkit::config::config;
use vanewharf_testkit::http::send_request;
use vanewharf_testkit::platform::Lifecycle;

const READ: &str = "/read/x";
const WRITE: &str = "/write/x";

fn start_cluster(proxies: usize) -> TestCluster {
    let cluster = TestCluster::start(proxies, |_| {});
    assert_eq!(cluster.send_command("POST", "/-/Configuration.Replace", &config(1, |_| {})).status(), 200);
    (0..proxies).for_each(|proxy| drop(cluster.wait_for_status(proxy, READ, Some("key-a"), 200)));
    cluster
}

fn replace(cluster: &TestCluster, revision: u64, change: impl FnOnce(&mut Value)) -> u16 {
    cluster.send_command("POST", "/-/Configuration.Replace", &config(revision, change)).status()
}

fn revision(cluster: &TestCluster) -> String {
    let configuration: Value =
        serde_json::from_str(&cluster.send_command("GET", "/-/Configuration.Read", "").body)
            .expect("the body is JSON");
    configuration["revision"].as_str().expect("the configuration has a revision").to_owned()
}

#[test]
fn requests_are_admitted_by_route_key_and_quota_and_executed_once() {
    let cluster = start_cluster(1);
    let status = |method, path, key| cluster.send_request(0, method, path, key).expect("a response").status();
    assert_eq!(status("GET", "/none/x", Some("key-a")), 404);
    assert_eq!((status("GET", READ, None), status("GET", READ, Some("key-z"))), (401, 401));
    let response = cluster.send_request_as(0, "POST", WRITE, Some("key-c"), "one").expect("a response");
    assert_eq!((response.status(), response.header("Backend-Seal")), (200, Some("s.1")));
    let executed: Vec<_> = cluster
        .backends
        .iter()
        .flat_map(|backend| backend.executed_requests())
        .filter(|request| request.attempt == "one")
        .collect();
    assert_eq!(
        (executed.len(), executed[0].customer.as_deref(), executed[0].access_key.as_deref()),
        (1, Some("bor"), None)
    );
    assert_eq!(response.body, "i-writes-west-a", "the home region of the tenant is west");
    // The tenant starts with a burst of 4 and the one-time allowance on top of it, less the request above.
    let refused = cluster.wait_until("the quota is exhausted", || {
        cluster.send_request(0, "GET", READ, Some("key-c")).ok().filter(|response| response.status() == 429)
    });
    let wait: f64 = refused
        .header("Retry-After")
        .and_then(|wait| wait.parse().ok())
        .expect("a numeric Retry-After header");
    assert!(wait > 0.0 && wait <= 1.5, "{wait}");
    let resolution = cluster.wait_until("the directory lists proxies", || {
        let response = send_request(
            cluster.directory_address(1),
            "GET",
            "/-/resolution?name=shop.example&region=west&zone=west-a",
            &[],
            "",
        );
        response.ok().filter(|response| response.status() == 200)
    });
    let resolution: Value = serde_json::from_str(&resolution.body).expect("the body is JSON");
    assert_eq!(resolution["addresses"], json!([cluster.frontend_address(0).to_string()]));
    assert_eq!(
        send_request(cluster.readiness_address(0), "GET", "/-/readiness", &[], "")
            .expect("a response")
            .status(),
        200
    );
}

#[test]
fn invalid_configurations_are_rejected_and_a_revision_keeps_its_first_body() {
    let cluster = start_cluster(1);
    let unknown = |config: &mut Value| config["routes"]["r-read"]["service"] = json!("nobody");
    let refused = cluster.send_command("POST", "/-/Configuration.Replace", &config(2, unknown));
    assert!(refused.status() == 400 && refused.body.contains("routes.r-read"), "{refused:?}");
    assert_eq!(cluster.send_command("POST", "/-/Nothing", "").status(), 404);
    assert_eq!(cluster.send_command("POST", "/-/Evacuation.Begin/nowhere", "").status(), 404);
    assert_eq!(
        replace(&cluster, 3, |config| config["routes"]["r-read"]["path_prefix"] = json!("/first/")),
        200
    );
    assert_eq!(
        replace(&cluster, 3, |config| config["routes"]["r-read"]["path_prefix"] = json!("/second/")),
        409,
        "two different configurations must not be acknowledged under one revision"
    );
    assert_eq!(
        replace(&cluster, 3, |config| config["routes"]["r-read"]["path_prefix"] = json!("/first/")),
        200
    );
    assert_eq!(replace(&cluster, 2, |_| {}), 200, "an older revision is acknowledged and changes nothing");
    cluster.wait_for_status(0, "/first/x", Some("key-a"), 200);
    assert_eq!(cluster.send_request(0, "GET", "/second/x", Some("key-a")).expect("a response").status(), 404);
    assert_eq!(revision(&cluster), "r3");
}

#[test]
fn drains_and_evacuations_are_applied_and_survive_a_restart_of_all_processes() {
    let mut cluster = start_cluster(1);
    let one_draining: Vec<_> = cluster
        .backends
        .iter()
        .map(|backend| match backend.id.as_str() {
            "i-reads-east-a" => (backend, Lifecycle::Draining),
            _ => (backend, Lifecycle::Available),
        })
        .collect();
    cluster.platform.set_instances(&one_draining);
    let served_by = |cluster: &TestCluster, id: &str| {
        cluster
            .send_request(0, "GET", READ, Some("key-a"))
            .is_ok_and(|response| response.status() == 200 && response.body == id)
    };
    let all_served_by =
        |cluster: &TestCluster, id: &str| (0..12).all(|_| served_by(cluster, id)).then_some(());
    cluster.wait_until("the draining backend gets no requests", || all_served_by(&cluster, "i-reads-west-a"));
    let available: Vec<_> = cluster.backends.iter().map(|backend| (backend, Lifecycle::Available)).collect();
    cluster.platform.set_instances(&available);
    assert_eq!(cluster.send_command("POST", "/-/Evacuation.Begin/west-a", "").status(), 200);
    cluster.wait_until("the evacuated zone gets no requests", || all_served_by(&cluster, "i-reads-east-a"));
    (0..=CONTROLLERS).for_each(|machine| cluster.kill_machine(machine));
    (0..=CONTROLLERS).for_each(|machine| cluster.start_machine(machine));
    cluster.wait_for_status(0, READ, Some("key-a"), 200);
    let before = cluster.backends[1].executed_requests().len();
    // The token buckets of a restarted proxy are empty, so it rejects some requests at first.
    (0..12).for_each(|_| {
        cluster.wait_until("the request is served outside the evacuated zone", || {
            served_by(&cluster, "i-reads-east-a").then_some(())
        })
    });
    assert_eq!(cluster.backends[1].executed_requests().len(), before);
    assert_eq!(cluster.send_command("POST", "/-/Evacuation.Finish/west-a", "").status(), 200);
    assert_eq!(revision(&cluster), "r1");
}

/// Returns whether a voter has lost its disk and has not recovered its promises, or `None` if it does not respond. Asks with
/// a pre-vote because that changes no state of the voter.
fn has_amnesia(cluster: &TestCluster, controller: usize) -> Option<bool> {
    let voter = cluster.internal_address(controller);
    let pre_vote = json!({"PreVote": {"holder": voter}}).to_string();
    let response = send_request(voter, "POST", "/vote", &[], &pre_vote).ok()?;
    (response.status() == 200).then(|| response.body.contains("Amnesic"))
}

#[test]
fn acknowledged_configurations_survive_the_loss_of_any_controller_and_its_disk() {
    let mut cluster = start_cluster(1);
    for (round, lost) in [0, 1, 2, 0].into_iter().enumerate() {
        let newer = round as u64 + 2;
        assert_eq!(replace(&cluster, newer, |_| {}), 200);
        cluster.kill_machine(lost);
        cluster.wipe_disk(lost);
        assert_eq!(revision(&cluster), format!("r{newer}"), "without controller {lost}");
        cluster.start_machine(lost);
        // A voter with an empty disk does not vote until it has recovered, and the next round needs its vote: if two of
        // three voters had lost their disks, neither could recover.
        cluster.wait_until("the controller has recovered", || {
            let operator_api = cluster.controller_address(lost);
            let response = send_request(operator_api, "GET", "/-/Configuration.Read", &[], "").ok()?;
            (matches!(response.status(), 200 | 307) && !has_amnesia(&cluster, lost)?).then_some(())
        });
    }
    (0..CONTROLLERS).for_each(|controller| cluster.kill_machine(controller));
    (0..CONTROLLERS).for_each(|controller| cluster.start_machine(controller));
    assert_eq!(revision(&cluster), "r5");
}

#[test]
fn a_proxy_without_updates_rejects_keys_if_the_revocation_time_is_bounded() {
    let mut cluster = TestCluster::start(2, |limits_table| {
        limits_table["revocation_global"] = json!(true);
        limits_table["revocation"] = json!("2500ms");
    });
    assert_eq!(replace(&cluster, 1, |_| {}), 200);
    (0..2).for_each(|proxy| drop(cluster.wait_for_status(proxy, READ, Some("key-a"), 200)));
    cluster.kill_agent(0);
    assert_eq!(
        replace(&cluster, 2, |config| config["customers"]["ana"]["access_keys"] = json!(["key-b"])),
        200
    );
    let refused = cluster.wait_for_status(0, READ, Some("key-b"), 503);
    assert!(refused.header("Retry-After").is_some(), "the client can retry at another proxy");
    assert_eq!(cluster.send_request(0, "GET", READ, Some("key-a")).expect("a response").status(), 503);
    cluster.wait_for_status(1, READ, Some("key-a"), 401);
    assert_eq!(cluster.send_request(1, "GET", READ, Some("key-b")).expect("a response").status(), 200);
}

#[test]
fn requests_that_may_have_executed_are_not_retried_nor_reported_as_not_executed() {
    let cluster = start_cluster(1);
    let set_behavior = |behavior| cluster.backends.iter().for_each(|backend| backend.set_behavior(behavior));
    let executions = |attempt: &str| {
        let all = cluster.backends.iter().flat_map(|backend| backend.executed_requests());
        all.filter(|request| request.attempt == attempt).count()
    };
    let post = |attempt: &str| {
        cluster.send_request_as(0, "POST", WRITE, Some("key-a"), attempt).expect("a response").status()
    };
    set_behavior(Behavior::ClosesWithoutResponse);
    assert_eq!((post("lost"), executions("lost")), (502, 1));
    set_behavior(Behavior::Fails);
    assert_eq!((post("failed"), executions("failed")), (500, 1), "the response of the backend is forwarded");
    set_behavior(Behavior::Sheds);
    assert_eq!((post("shed"), executions("shed")), (503, 0), "the request was not executed");
    set_behavior(Behavior::RespondsForAnotherFirst);
    let response = cluster.wait_until("the request is served again", || {
        cluster.send_request(0, "GET", READ, Some("key-a")).ok().filter(|response| response.status() == 200)
    });
    assert!(response.body.starts_with("i-reads"), "not the response to another request: {response:?}");
}

#[test]
fn proxies_lease_tokens_and_skip_a_controller_that_is_down() {
    let mut cluster = TestCluster::start(2, |limits_table| limits_table["rate_allowance"] = json!(1));
    let quota = |config: &mut Value| config["customers"]["bor"]["burst_allowance"] = json!(30);
    assert_eq!(replace(&cluster, 1, quota), 200);
    (0..2).for_each(|proxy| drop(cluster.wait_for_status(proxy, READ, Some("key-a"), 200)));
    let served = |cluster: &TestCluster| {
        let responses = (0..60).map(|number| {
            cluster.send_request(number % 2, "GET", READ, Some("key-c")).expect("a response").status()
        });
        responses.filter(|status| *status == 200).count()
    };
    // The controllers that lease tokens have a burst of 30 and what has been refilled since; no proxy has a quota share.
    let before = served(&cluster);
    assert!((8..=36).contains(&before), "{before}");
    cluster.kill_machine(0);
    cluster
        .wait_until("the other controllers lease refilled tokens", || (served(&cluster) > 0).then_some(()));
}

#[test]
fn a_controller_at_a_new_address_replaces_a_lost_voter() {
    let mut cluster = TestCluster::with_controllers(4, 1, |_| {});
    assert_eq!(replace(&cluster, 1, |_| {}), 200);
    cluster.kill_machine(0);
    cluster.wipe_disk(0);
    let replace_voter = |cluster: &TestCluster, removed: usize, added: usize| {
        let ip = |controller: usize| cluster.internal_address(controller).ip();
        let path = format!("/-/Voters.Replace/{}/{}", ip(removed), ip(added));
        // The leaseholder is one of the two remaining voters; the fourth controller follows it.
        cluster.wait_until("the command is accepted", || {
            let responses = (1..4).filter_map(|number| {
                send_request(cluster.controller_address(number), "POST", &path, &[], "").ok()
            });
            let clear: Vec<_> =
                responses.map(|response| response.status()).filter(|status| *status != 307).collect();
            clear.into_iter().find(|status| matches!(status, 200 | 409))
        })
    };
    assert_eq!(replace_voter(&cluster, 3, 3), 409, "the controller to remove is not a voter");
    assert_eq!(
        replace_voter(&cluster, 0, 1),
        409,
        "the replacement is already a voter, so the voter set would shrink"
    );
    let membership = membership(&cluster, 1).expect("the controller responds");
    assert!(membership.voters.len() == 3 && membership.outgoing.is_empty(), "{membership:?}");
    cluster.wait_until("the leaseholder knows the fourth controller", || {
        (replace_voter(&cluster, 0, 3) == 200).then_some(())
    });
    assert_eq!(replace_voter(&cluster, 0, 3), 200, "a repeated command is acknowledged and changes nothing");
    cluster.kill_machine(1);
    assert_eq!(replace(&cluster, 2, |_| {}), 200, "the third and fourth controllers are a majority");
    assert_eq!(revision(&cluster), "r2");
}

fn membership(cluster: &TestCluster, controller: usize) -> Option<Membership> {
    let response =
        send_request(cluster.internal_address(controller), "GET", endpoints::MEMBERSHIP, &[], "").ok()?;
    serde_json::from_str(&response.body).ok()
}

#[test]
fn an_absent_voter_is_replaced_by_a_follower_and_the_leaseholder_can_be_replaced() {
    let mut cluster = TestCluster::with_controllers(4, 1, |_| {});
    assert_eq!(replace(&cluster, 1, |_| {}), 200);
    let address = |cluster: &TestCluster, controller: usize| cluster.internal_address(controller);
    cluster.kill_machine(0);
    let lost = address(&cluster, 0);
    let replaced = |cluster: &TestCluster| {
        membership(cluster, 3)
            .filter(|membership| membership.outgoing.is_empty() && !membership.voters.contains(&lost))
            .map(drop)
    };
    cluster.wait_until("the fourth controller has replaced the first as a voter", || replaced(&cluster));
    // The loss of any of the three current voters must be tolerated, including the leaseholder.
    let leaseholder = |cluster: &TestCluster| {
        (0..4).find(|number| {
            let response =
                send_request(cluster.controller_address(*number), "GET", "/-/Configuration.Read", &[], "");
            response.is_ok_and(|response| response.status() == 200)
        })
    };
    cluster.start_machine(0);
    let first_leaseholder = cluster.wait_until("a controller holds the lease", || leaseholder(&cluster));
    let path = format!("/-/Voters.Replace/{}/{}", address(&cluster, first_leaseholder).ip(), lost.ip());
    cluster.wait_until("the replacement of the leaseholder is acknowledged", || {
        (cluster.send_command("POST", &path, "").status() == 200).then_some(())
    });
    let replaced_address = address(&cluster, first_leaseholder);
    cluster.wait_until("the replaced leaseholder is no longer a voter", || {
        let membership = membership(&cluster, 0).filter(|membership| membership.outgoing.is_empty())?;
        (membership.voters.contains(&lost) && !membership.voters.contains(&replaced_address)).then_some(())
    });
    cluster.wait_until("another controller holds the lease", || {
        leaseholder(&cluster).filter(|now| *now != first_leaseholder)
    });
    cluster.kill_machine(first_leaseholder);
    assert_eq!(replace(&cluster, 2, |_| {}), 200, "the replaced leaseholder is not needed for a majority");
    assert_eq!(revision(&cluster), "r2");
}

#[test]
fn five_controllers_tolerate_the_loss_of_any_two_with_their_disks() {
    let mut cluster = TestCluster::with_controllers(5, 1, |_| {});
    assert_eq!(replace(&cluster, 1, |_| {}), 200);
    for (round, lost) in [[0, 1], [3, 4], [2, 0]].into_iter().enumerate() {
        // Only the three seed nodes are voters at first. The others become voters one by one, and those with empty disks
        // recover.
        let is_voter = |controller: usize| {
            let response =
                send_request(cluster.internal_address(controller), "GET", endpoints::MEMBERSHIP, &[], "")
                    .ok()?;
            let membership: Membership = serde_json::from_str(&response.body).ok()?;
            // A voter that has lost its disk responds `Amnesic` instead of `Refused`.
            let request = r#"{"Renew":{"ballot":0,"holder":"127.0.0.1:1"}}"#;
            let vote =
                send_request(cluster.internal_address(controller), "POST", endpoints::VOTE, &[], request)
                    .ok()?;
            let complete = membership.voters.len() == 5 && membership.outgoing.is_empty();
            (complete && vote.body.contains("Refused")).then_some(())
        };
        cluster.wait_until("all five are voters", || {
            (0..5).all(|controller| is_voter(controller).is_some()).then_some(())
        });
        let newer = 10 * (round as u64 + 1);
        assert_eq!(replace(&cluster, newer, |_| {}), 200);
        for lost in lost {
            cluster.kill_machine(lost);
            cluster.wipe_disk(lost);
        }
        assert_eq!(revision(&cluster), format!("r{newer}"), "without controllers {lost:?}");
        assert_eq!(replace(&cluster, newer + 1, |_| {}), 200, "the remaining controllers are a majority");
        lost.into_iter().for_each(|lost| cluster.start_machine(lost));
        assert_eq!(revision(&cluster), format!("r{}", newer + 1));
    }
}
