use super::*;

pub const SMALL: &str = r#"
name = "small"
length_s = 5
[fleet]
doors = 3
backends = 4
[[product]]
name = "look"
share = 1
work_ms = 20
sla_ms = 400
expiry_ms = 1500
repeat = "inquiry-like"
[[plan]]
name = "basic"
share = 1
rate = 4
burst = 8
[load]
of_capacity = 0.5
"#;

#[test]
fn a_minimal_file_is_parsed_with_defaults() {
    let experiment = Experiment::parse(SMALL).expect("a valid experiment");
    assert_eq!((experiment.seed, experiment.tick_ms, experiment.fleet.cores), (1, 4.0, 2));
    assert_eq!(experiment.plan[0].width, Span::Two([0.2, 0.4]));
}

#[test]
fn errors_name_the_key_or_line() {
    let cases = [
        ("doors = 3", "doors = 0", "fleet.doors"),
        ("doors = 3", "doors = \"many\"", "line 5"),
        ("doors = 3", "doors = 3\ndoor = 4", "door"),
        ("work_ms = 20", "work_ms = -1", "product.0.work_ms"),
        ("expiry_ms = 1500", "expiry_ms = 100", "product.0.expiry_ms"),
        ("\"inquiry-like\"", "\"referenced\"", "product.0.window_ms"),
        ("\"inquiry-like\"", "\"twice\"", "twice"),
        ("rate = 4", "rate = 0", "plan.0.rate"),
        ("rate = 4", "rate = 4\nceiling = 0.5", "plan.0.ceiling"),
        ("of_capacity = 0.5", "of_capacity = nan", "load.of_capacity"),
        ("length_s = 5", "length_s = 0", "length_s"),
        ("[load]", "[[fault]]\nkind = \"place-cut\"\nat_s = 1\nfor_s = 1\n[load]", "fault.0.kind"),
        ("[load]", "[[fault]]\nkind = \"slow\"\nat_s = 9\nfor_s = 1\n[load]", "fault.0.at_s"),
        ("[load]", "[[sweep]]\nkey = \"fleet.doors\"\nvalues = [2, 0]\n[load]", "sweep.0"),
        ("[load]", "[[sweep]]\nkey = \"product.7.value\"\nvalues = [2]\n[load]", "sweep.0"),
        (
            "[load]",
            "[trace]\nfile = \"t.csv\"\nmapping = {product = \"look\", columns = {time = \"t\", customer = \"c\"}}\n[load]",
            "trace.mapping.plan",
        ),
    ];
    for (from, to, expected) in cases {
        let message = Experiment::parse(&SMALL.replacen(from, to, 1)).expect_err(to).to_string();
        assert!(message.contains(expected), "{to}: {message}");
        assert!(!message.contains('\n'), "more than one line: {message}");
    }
}

#[test]
fn keys_are_replaced_in_sections_and_array_items() {
    let table: toml::Table = toml::from_str(SMALL).expect("a TOML table");
    let overrides =
        [("load.of_capacity", &toml::Value::Float(0.9)), ("product.0.value", &toml::Value::Integer(3))];
    let changed = experiment_with(&table, &overrides).expect("a valid experiment");
    assert_eq!((changed.load.of_capacity, changed.product[0].value), (0.9, 3.0));
    let overrides = [("meter", &toml::Value::Integer(3))];
    assert!(experiment_with(&table, &overrides).is_err());
}
