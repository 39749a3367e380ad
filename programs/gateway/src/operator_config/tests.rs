use super::*;

fn read(text: &str) -> Result<OperatorConfig, OperatorConfigError> {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    std::fs::write(file.path(), text).expect("the file is written");
    OperatorConfig::read(Some(file.path()))
}

#[test]
fn kill_after_is_parsed_has_a_default_and_is_refused_out_of_range() {
    let kill_after = |text| read(text).map(|config| config.kill_after).map_err(|error| error.to_string());
    assert_eq!(kill_after("kill_after_s = 2.5"), Ok(Duration::from_millis(2500)));
    assert_eq!(kill_after(""), Ok(DEFAULT_KILL_AFTER));
    assert_eq!(OperatorConfig::read(None).expect("the defaults").kill_after, DEFAULT_KILL_AFTER);
    for text in ["kill_after_s = 0.0", "kill_after_s = -3.0", "kill_after_s = 1e9", "kill_after_s = nan"] {
        let error = kill_after(text).expect_err(text);
        assert!(error.starts_with("kill_after_s is refused: "), "{error}");
    }
}
