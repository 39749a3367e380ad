use super::*;

fn tables() -> RoutingTables {
    let config = r#"{"revision":"r1","routes":{
        "a":{"hostname":"h.example","path_prefix":"/a/","route_kind":"read_only","deadline":"1s","target":"1s",
            "service":"s","tries":1},
        "b":{"hostname":"h.example","path_prefix":"/a/b/","route_kind":"mutating","deadline":"1s","target":"1s",
            "service":"s","tries":1,"public":true}},
        "services":{"s":{"health_path":"/h","connection_limit":9}},
        "limits":{"max_header_bytes":1,"max_body_bytes":1,"header_deadline":"1s","idle_timeout":"1s"},
        "customers":{"c":{"access_keys":["k"],"rate_per_s":5,"burst_allowance":7}}}"#;
    let config = serde_json::from_str(config).expect("JSON");
    RoutingTables::from_register(&Register { config: Some(config), ..Register::empty() })
        .expect("a valid configuration")
}

#[test]
fn requests_are_resolved_by_longest_prefix_and_key() {
    let tables = tables();
    let kind = |host, path, key| {
        tables.resolve(host, path, key).map(|route| (route.rule.kind, route.tenant.is_some()))
    };
    assert_eq!(kind("H.example:80", "/a/x", Some("k")), Ok((RouteKind::ReadOnly, true)));
    assert_eq!(kind("h.example", "/a/b/x", None), Ok((RouteKind::Mutating, false)), "the route is public");
    assert_eq!(kind("h.example", "/a/x", Some("l")), Err(RoutingError::UnknownKey));
    assert_eq!(kind("h.example", "/a", Some("k")), Err(RoutingError::NoRoute));
    assert_eq!(kind("i.example", "/a/x", Some("k")), Err(RoutingError::NoRoute));
    assert_eq!(tables.quota("c"), Quota { rate: 5.0, burst: 7.0 });
}
