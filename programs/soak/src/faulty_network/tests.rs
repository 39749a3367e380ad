use super::*;

#[test]
fn what_is_written_is_what_a_process_reads() {
    let peers = ["127.0.0.1", "127.9.8.7"].map(|peer| peer.parse().expect("an address"));
    let faults = NetworkFaults { cut_off: peers.into(), answer_loss: 0.25 };
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("faults");
    faults.write(&path).expect("written");
    let text = std::fs::read_to_string(path).expect("it is there");
    assert_eq!(NetworkFaults::parse(&text), Some(faults));
    assert_eq!(NetworkFaults::parse(""), None);
    assert_eq!(NetworkFaults::parse("0\nnobody\n"), None);
}
