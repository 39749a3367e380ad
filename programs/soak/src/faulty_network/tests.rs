use super::*;

#[test]
fn faults_survive_a_round_trip_through_the_file() {
    let peers = ["127.0.0.1", "127.9.8.7"].map(|peer| peer.parse().expect("the address is valid"));
    let faults = NetworkFaults { partitioned_peers: peers.into(), response_loss_rate: 0.25 };
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let path = directory.path().join("faults");
    faults.write(&path).expect("the file can be written");
    let text = std::fs::read_to_string(path).expect("the file can be read");
    assert_eq!(NetworkFaults::parse(&text), Some(faults));
    assert_eq!(NetworkFaults::parse(""), None);
    assert_eq!(NetworkFaults::parse("0\nnobody\n"), None);
}
