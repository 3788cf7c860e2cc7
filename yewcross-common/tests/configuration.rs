//! The settings of program classes: inheritance, and the names of what is wrong.

use yewcross_common::configuration::Configuration;

#[test]
fn children_inherit_and_faults_are_named() {
    let t = Configuration::read(
            br#"{"families":{"chat":{"set":{"horizon_ms":4000,"max_output":100},
                "under":{"chargeback":{"set":{"max_output":200}}}}},"services":{"llm":{"allow":["m*"]}}}"#,
        )
        .unwrap();
    let c = &t.families["chargeback"];
    assert_eq!((c.settings.horizon_ms, c.settings.max_output), (4000, 200));
    assert_eq!(
        (
            c.origins["horizon_ms"].as_str(),
            c.origins["max_output"].as_str(),
            c.origins["class"].as_str()
        ),
        ("chat", "chargeback", "default")
    );
    assert!(t.services["llm"].allows("m7") && !t.services["llm"].allows("x7"));
    let e = Configuration::read(
            br#"{"families":{"a":{"set":{"horizon_ms":1,"nope":2},"under":{"b":{"set":{"service":"gone"}}}}},
                "services":{"llm":{"allow":["m1"]}}}"#,
        )
        .unwrap_err();
    let p: Vec<&str> = e.iter().map(|b| b.path.as_str()).collect();
    assert_eq!(
        p,
        [
            "families/a/set/horizon_ms",
            "families/a/set/nope",
            "families/a/under/b/set/service"
        ]
    );
    assert!(e[0].reason.contains("10 to 600000"));
    assert!(
        Configuration::read(b"{").is_err() && Configuration::read(br#"{"famili":{}}"#).is_err()
    );
}
