//! Measures configurations: parsing, compression, routing tables, and changes of one route.

use crate::fleet::{ConfigVersion, config, register};
use crate::measure::{compressed_size, measure, to_json};
use serde_json::value::RawValue;
use vanewharf_config::configuration::Config;
use vanewharf_protocol::history::{ConfigDocument, RegisterHistory};
use vanewharf_protocol::messages::{PullResponse, Revision};
use vanewharf_proxy::routing::RoutingTables;

/// Numbers of routes and tenants of each configuration.
const SIZES: [(usize, usize); 9] = [
    (1_000, 0),
    (10_000, 0),
    (48_000, 0),
    (10, 10_000),
    (10, 60_000),
    (10, 240_000),
    (1_000, 10_000),
    (10_000, 60_000),
    (48_000, 240_000),
];

/// Prints a table of parsing and a table of changes.
pub fn measure_all() {
    println!(
        "\n| routes | tenants | text MB | compressed MB | compression ms | Config::parse ms, retained MB, peak MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut change_rows = String::new();
    for (routes, tenants) in SIZES {
        let text = config(routes, tenants, 1, ConfigVersion::Original);
        println!("| {routes} | {tenants} | {} |", parsing_row(&text));
        change_rows.push_str(&format!("| {routes} | {tenants} | {} |\n", change_row(text, routes, tenants)));
    }
    println!(
        "\n| routes | tenants | ConfigDocument::parse ms, retained MB | record change ms | bytes, compressed | apply change ms | \
         RoutingTables::from_register ms, retained MB, peak MB | serialize, parse snapshot ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |\n{change_rows}");
}

fn parsing_row(text: &RawValue) -> String {
    let megabytes = text.get().len() as f64 / 1e6;
    let compression = measure(|| compressed_size(text.get().as_bytes()));
    let parsing = measure(|| Config::parse(text.get().as_bytes()).expect("a valid configuration"));
    format!(
        "{megabytes:.2} | {:.2} | {:.0} | {:.0}, {:.1}, {:.1}",
        compression.output as f64 / 1e6,
        compression.milliseconds,
        parsing.milliseconds,
        parsing.retained_mb,
        parsing.peak_mb
    )
}

fn change_row(text: Box<RawValue>, routes: usize, tenants: usize) -> String {
    let document = measure(|| ConfigDocument::parse(&text).expect("a document"));
    let (document_ms, document_mb) = (document.milliseconds, document.retained_mb);
    drop(document);
    let older = register(1, text);
    let newer = register(2, config(routes, tenants, 2, ConfigVersion::OneRouteChanged));
    let tables = measure(|| RoutingTables::from_register(&newer).expect("routing tables"));
    let (tables_ms, tables_mb, tables_peak_mb) = (tables.milliseconds, tables.retained_mb, tables.peak_mb);
    drop(tables);
    let mut sender = RegisterHistory::default();
    sender.record_replacement(None, &older);
    let mut receiver = sender.clone();
    let recording = measure(|| sender.record_replacement(Some(&older), &newer));
    let changes = sender.changes_since(Revision(1)).expect("a change");
    let changes_json = to_json(&changes);
    let applying = measure(|| receiver.apply_changes(&older, changes).expect("the change applies"));
    let response = PullResponse { register: Some(older), ..PullResponse::default() };
    let writing = measure(|| to_json(&response));
    let reading =
        measure(|| serde_json::from_slice::<PullResponse>(&writing.output).expect("a pull response"));
    format!(
        "{document_ms:.0}, {document_mb:.1} | {:.0} | {}, {} | {:.0} | {tables_ms:.0}, {tables_mb:.1}, \
         {tables_peak_mb:.1} | {:.0}, {:.0}",
        recording.milliseconds,
        changes_json.len(),
        compressed_size(&changes_json),
        applying.milliseconds,
        writing.milliseconds,
        reading.milliseconds,
    )
}
