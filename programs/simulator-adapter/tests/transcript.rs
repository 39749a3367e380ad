//! Tests of the adapter program with transcripts of batches over its standard streams.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// A batch that launches a gateway with one backend.
const START: &str = "SYNC t=100.0
ON door=door_0
LAUNCH init_seed=5 balancers=1 allowed.most_tries=3 allowed.cancel=true allowed.second_copies=true allowed.retry_after=true \
allowed.max_retry_after=500.0 classes.count=1 classes.0.name=look classes.0.aim=400.0 classes.0.gain=1.0 \
classes.0.idempotency=retryable tiers_of_service.count=1 tiers_of_service.0.name=basic \
tiers_of_service.0.rate=1.0 tiers_of_service.0.store_size=1.0 tiers_of_service.0.value_factor=1.0 odd.key=3
MEMBERS scope=2 seq_no=1 hosts=1
M scale=1 unit_group=0 backend=10.0.0.1:80 mode=2 hall=north generation_hw=small
EOF_BATCH
";

/// A batch with two requests of one customer.
const TXNS: &str = "SYNC t=104.5
ON door=door_0
ORDER txn=9 band=look client_id=key:a width=1 plan=basic cost_units=1 state_bits=0 from_no=0 client_deadline=900.25
ORDER txn=10 band=look client_id=key:a width=1 plan=basic cost_units=1 state_bits=0 from_no=0 client_deadline=900.25
EOF_BATCH
";

fn run_adapter(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_vanewharf-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit on an error before it has read all input, which breaks the pipe.
    let _ = adapter.stdin.take().expect("its input").write_all(input.as_bytes());
    adapter.wait_with_output().expect("the adapter ends")
}

#[test]
fn answers_each_batch_and_ends_with_the_input() {
    let end = "SYNC t=125\nON door=door_0\nATTEMPT_END txn=9 leg=0 backend=10.0.0.1:80 state_code=0 \
               delay_seen=20.5 complete=1 quota_use=86\nDUE ctx=4\nEOF_BATCH\n\
               SYNC t=126\nON door=door_0\nKILLED\nEOF_BATCH\n";
    let output = run_adapter(&format!("{START}{TXNS}{end}"));
    let replies = String::from_utf8(output.stdout).expect("text");
    let wanted = "EOR\nINSTANCE door=door_0\nTRANSMIT txn=9 backend=10.0.0.1:80\n\
                  DECLINE txn=10 stay_away=500.0\nEOR\nEOR\nEOR\n";
    assert_eq!(replies, wanted);
    assert!(output.status.success() && output.stderr.is_empty());
}

#[test]
fn errors_name_the_line_message_and_field_of_invalid_input() {
    let body = |line: &str| format!("{START}SYNC t=104\nON door=door_0\n{line}\nEOF_BATCH\n");
    let cases = [
        (body("HELLO x=1"), ["line 9", "HELLO", "unknown message"]),
        (body("ATTEMPT_END txn=9 state_code=0 leg=x"), ["line 9", "ATTEMPT_END", "leg"]),
        (body("ATTEMPT_END txn=9 state_code=9 leg=0"), ["line 9", "ATTEMPT_END", "state_code"]),
        (body("ORDER txn=9 band=look plan=basic"), ["line 9", "ORDER", "client_id"]),
        (body("ORDER txn=9 band=look plan=gold client_id=a"), ["line 9", "ORDER", "plan"]),
        (body("M backend=10.0.0.2:80 mode=2"), ["line 9", "M", "out of place"]),
        (body("MEMBERS scope=0 hosts=1"), ["line 10", "EOF_BATCH", "out of place"]),
        (body("CLIENT_LEFT txn"), ["line 9", "CLIENT_LEFT", "txn"]),
        (body("ON door=door_9\nDUE ctx=1"), ["line 10", "DUE", "door_9"]),
        (format!("{START}DUE ctx=1\n"), ["line 7", "DUE", "out of place"]),
        (format!("{START}SYNC t=104\n"), ["line 7", "EOF_BATCH", "mid-batch"]),
        (format!("{START}SYNC now=104\n"), ["line 7", "SYNC", "field t"]),
        (START.replace("gain=1.0", "gain=much"), ["line 3", "LAUNCH", "classes.0.gain"]),
    ];
    for (input, words) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(words.iter().all(|word| error.contains(word)), "{words:?} not in: {error}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(!output.status.success());
        assert!(["", "EOR\n"].contains(&String::from_utf8_lossy(&output.stdout).as_ref()));
    }
}

#[test]
fn calls_the_shared_counter_if_enabled_and_applies_its_replies() {
    // Eight gateways share a customer whose plan has a burst of 1, so no gateway's share covers a request of cost 1.
    let start = START.replace("LAUNCH init_seed=5 balancers=1", "LAUNCH init_seed=5 balancers=8").replace(
        "odd.key=3",
        "family_info.shared_counter=true family_info.count_wait=80.0 family_info.most_units=8",
    );
    let ask = TXNS.replace("width=1", "width=8");
    let call = |output: &Output| {
        let replies = String::from_utf8(output.stdout.clone()).expect("text");
        let calls: Vec<_> =
            replies.lines().filter(|line| line.starts_with("INCR ")).map(str::to_owned).collect();
        (replies, calls)
    };
    let (replies, calls) = call(&run_adapter(&format!("{start}{ask}")));
    assert_eq!(calls.len(), 2, "one call per first attempt: {replies}");
    assert!(
        calls.iter().all(|line| line.contains(" step=1 ") && line.contains("forget_after=")),
        "{calls:?}"
    );
    assert!(
        !replies.contains("TRANSMIT") && !replies.contains("DECLINE"),
        "requests wait for the counter's replies: {replies}"
    );
    let name = calls[0].split(' ').find_map(|field| field.strip_prefix("name=")).expect("a name");

    // The window's quota is the rate times its length, 1 unit: it admits the first request and rejects the second.
    let answers = format!(
        "SYNC t=106\nON door=door_0\nCOUNTER_REPLY result_value=1 name={name} state_code=0 delay_seen=1.5\n\
         COUNTER_REPLY result_value=2 name={name} state_code=0 delay_seen=1.5\nEOF_BATCH\n"
    );
    let output = run_adapter(&format!("{start}{ask}{answers}"));
    let (replies, calls) = call(&output);
    assert!(replies.contains("TRANSMIT txn=9 "), "{replies}");
    assert!(replies.contains("DECLINE txn=10"), "{replies}");
    assert!(
        !calls.iter().any(|line| line.contains("step=-")),
        "the first request used the whole quota: {calls:?}"
    );
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));

    // With the shared counter disabled, the same batches do not call it.
    let (_, calls) =
        call(&run_adapter(&format!("{}{ask}", start.replace("shared_counter=true", "shared_counter=false"))));
    assert!(calls.is_empty());
}

#[test]
fn exchanges_peer_messages_and_ignores_undecodable_ones() {
    let start =
        START.replace("LAUNCH init_seed=5 balancers=1", "LAUNCH init_seed=5 balancers=8 me=7").replace(
            "odd.key=3",
            "family_info.most_units=8 allowed.peer_messages=true classes.0.hard_limit=4000 \
         tiers_of_service.0.excess_cost=1",
        );
    let asks = TXNS.replace("width=1", "width=7").replace("900.25", "4000");
    let output = run_adapter(&format!("{start}{asks}"));
    let replies = String::from_utf8(output.stdout).expect("text");
    let sent: Vec<_> = replies.lines().filter(|line| line.starts_with("NOTIFY ")).collect();
    assert_eq!(sent.len(), 2, "one message per request, to a gateway of the customer's subset: {replies}");
    let field = |line: &str, name: &str| {
        line.split(' ').find_map(|field| field.strip_prefix(name)).expect("its field").to_owned()
    };
    assert!((0..7).contains(&field(sent[0], "to=").parse::<u32>().expect("a gateway's number")), "{replies}");
    let content = field(sent[0], "content=");
    assert!(content.len() <= 512 && content.bytes().all(|digit| digit.is_ascii_hexdigit()), "{content}");

    // A request from another gateway is answered; undecodable content is ignored.
    let inbox = |content: &str| {
        run_adapter(&format!("{start}SYNC t=106\nON door=door_0\nINBOX by=3 content={content}\nEOF_BATCH\n"))
    };
    let replies = String::from_utf8(inbox(&content).stdout).expect("text");
    assert!(replies.contains("NOTIFY to=3 content="), "{replies}");
    let long = content.repeat(40);
    for odd in ["-", "0", "zz", "ff00", &content[..content.len() - 2], &long] {
        let output = inbox(odd);
        let replies = String::from_utf8(output.stdout).expect("text");
        assert!(output.status.success() && !replies.contains("NOTIFY"), "{odd}: {replies}");
    }
}
