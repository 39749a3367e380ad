use super::*;

const START: Timestamp = Timestamp(1_000_000_000);

fn lender() -> TokenLender {
    let mut lender = TokenLender::new(0.0, true, 1, START);
    let summary = FleetSummary { token_lenders: Some(1), ..FleetSummary::default() };
    lender.apply_summary(&summary, Some(&config()), START);
    lender
}

fn config() -> Config {
    let text = r#"{"revision":"r1","routes":{},"services":{},"limits":{"max_header_bytes":1024,
        "max_body_bytes":1024,"header_deadline":"1s","idle_timeout":"1s"},"customers":{"known":{
        "access_keys":["key"],"precedence":0,"rate_per_s":10,"burst_allowance":10,"home_regions":[]}}}"#;
    Config::parse(text.as_bytes()).expect("a configuration")
}

fn request(tenant: &str) -> TokenCounts {
    TokenCounts::from([(tenant.to_owned(), 1)])
}

#[test]
fn a_known_tenant_gets_tokens_and_an_unknown_one_no_entry() {
    let mut lender = lender();
    let leased = lender.lease(request("known"), Some(&config()), START);
    assert_eq!(leased, Some(request("known")));
    assert_eq!(lender.lease(request("other"), Some(&config()), START), Some(TokenCounts::new()));
}

/// After losing its disk a controller knows no configuration. An answer without tokens would make the proxies refuse
/// requests that are within their quota.
#[test]
fn without_a_configuration_no_tenant_is_refused() {
    assert_eq!(lender().lease(request("known"), None, START), None);
}
