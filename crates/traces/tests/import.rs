//! Tests of reading, rejecting, writing and summarizing trace rows.

use std::collections::BTreeMap;
use vanewharf_traces::{
    Columns, Mapping, RowDefect, canonical_mapping, read_trace, summarize_trace, write_trace,
};

fn mapping() -> Mapping {
    let column = |name: &str| name.to_owned();
    Mapping {
        columns: Columns {
            time: column("ts"),
            customer: column("user"),
            kind: Some(column("op")),
            units: Some(column("cpu")),
            plan: None,
        },
        time_unit_s: 0.001,
        speedup: 2.0,
        kinds: BTreeMap::from([
            ("get".to_owned(), "resolve".to_owned()),
            ("put".to_owned(), "publish".to_owned()),
        ]),
        plan: Some("basic".to_owned()),
        units: 1.0,
        max_units: 100.0,
        product: None,
    }
}

fn plans() -> Vec<String> {
    vec!["basic".to_owned()]
}

#[test]
fn rows_are_read_by_the_named_columns() {
    let text = "user,ts,op,cpu,extra\na,5000,get,2,x\nb,7000,put,8,y\n";
    let trace = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
    assert!(trace.rejected.is_empty());
    assert_eq!(trace.rows[1].time_s, 1.0, "2 s after the first row, replayed at twice the speed");
    assert_eq!((trace.rows[1].product.as_str(), trace.rows[1].units), ("publish", 8.0));
}

#[test]
fn defective_rows_are_counted_by_defect_and_rejected() {
    let text = "user,ts,op,cpu\na,5000,get,2\na,x,get,2\na,4999,get,2\n,5001,get,2\na,5002,move,2\na,5003,get,-1\n\
                a,5004,get,1e9\na,5005,get\na,5006,get,2,9\na,nan,get,2\na,5000,get,2\na,5007,put,1\n";
    let trace = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
    assert_eq!(trace.rows.len(), 3);
    let counts: Vec<_> = trace
        .rejected
        .iter()
        .map(|(defect, rejected)| (*defect, rejected.count, rejected.first_line))
        .collect();
    use RowDefect::*;
    assert_eq!(
        counts,
        [
            (MalformedRecord, 2, 9),
            (InvalidTime, 2, 3),
            (OutOfOrder, 1, 4),
            (MissingCustomer, 1, 5),
            (UnmappedKind, 1, 6),
            (InvalidUnits, 2, 7)
        ]
    );
    assert_eq!(trace.rejected_count(), 9);
}

#[test]
fn a_row_that_is_not_utf8_does_not_affect_other_rows() {
    let text = b"user,ts,op,cpu\na,5000,get,2\n\xff\xfe,5001,get,2\na,5002,get,2\n";
    let trace = read_trace(&text[..], &mapping(), &plans()).expect("readable");
    assert_eq!((trace.rows.len(), trace.rejected[&RowDefect::MalformedRecord].count), (2, 1));
}

#[test]
fn a_missing_or_repeated_column_is_an_error_that_names_it() {
    let error_of =
        |text: &str| read_trace(text.as_bytes(), &mapping(), &plans()).expect_err("an error").to_string();
    assert_eq!(error_of("user,time,op,cpu\na,1,get,2\n"), "the trace has no column 'ts'");
    assert_eq!(error_of(""), "the trace has no column 'ts'");
    assert!(error_of("user,ts,op,cpu,ts\n").contains("column 'ts' more than once"));
    let none = Mapping { plan: None, ..mapping() };
    assert!(read_trace("".as_bytes(), &none, &plans()).expect_err("an error").to_string().contains("plan"));
}

#[test]
fn a_written_trace_round_trips() {
    let text = "user,ts,op,cpu\na,5000,get,2\nb,7000,put,8\n";
    let once = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
    let mut written = Vec::new();
    write_trace(&mut written, &once.rows).expect("written");
    let products = ["resolve".to_owned(), "publish".to_owned()];
    let again = read_trace(&written[..], &canonical_mapping(&products), &plans()).expect("readable");
    assert_eq!(again, once);
    let summary = summarize_trace(&once.rows);
    assert_eq!(
        (summary.rows, summary.customers, summary.seconds, summary.peak_rows_per_second),
        (2, 2, 1.0, 1)
    );
}

#[test]
fn one_defective_row_in_twenty_does_not_affect_the_others() {
    let mut text = "user,ts,op,cpu\n".to_owned();
    for no in 0..2_000 {
        let bad = no % 20 == 19;
        text += &format!("u{},{},{},{}\n", no % 50, 5_000 + no, if bad { "?" } else { "get" }, 1 + no % 4);
    }
    let trace = read_trace(text.as_bytes(), &mapping(), &plans()).expect("readable");
    assert_eq!((trace.rows.len(), trace.rejected[&RowDefect::UnmappedKind].count), (1_900, 100));
}
