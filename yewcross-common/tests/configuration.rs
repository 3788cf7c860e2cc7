//! The settings of program classes: inheritance, and the paths of invalid settings.

use yewcross_common::configuration::Configuration;

#[test]
fn families_inherit_settings_and_errors_contain_their_paths() {
    let configuration = Configuration::read(
            br#"{"families":{"chat":{"set":{"horizon_ms":4000,"max_output":100},
                "under":{"chargeback":{"set":{"max_output":200}}}}},"services":{"llm":{"allow":["m*"]}}}"#,
        )
        .unwrap();
    let family = &configuration.families["chargeback"];
    assert_eq!(
        (family.settings.horizon_ms, family.settings.max_output),
        (4000, 200)
    );
    assert_eq!(
        (
            family.origins["horizon_ms"].as_str(),
            family.origins["max_output"].as_str(),
            family.origins["class"].as_str()
        ),
        ("chat", "chargeback", "default")
    );
    assert!(
        configuration.services["llm"].allows("m7") && !configuration.services["llm"].allows("x7")
    );
    let errors = Configuration::read(
            br#"{"families":{"a":{"set":{"horizon_ms":1,"nope":2},"under":{"b":{"set":{"service":"gone"}}}}},
                "services":{"llm":{"allow":["m1"]}}}"#,
        )
        .unwrap_err();
    let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "families/a/set/horizon_ms",
            "families/a/set/nope",
            "families/a/under/b/set/service"
        ]
    );
    assert!(errors[0].reason.contains("10 to 600000"));
    assert!(
        Configuration::read(b"{").is_err() && Configuration::read(br#"{"famili":{}}"#).is_err()
    );
}
