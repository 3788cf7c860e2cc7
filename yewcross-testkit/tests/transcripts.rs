//! Whole exchanges, compared with what was approved. `APPROVE=1 cargo test` writes them anew.

use std::fmt::Write;
use yewcross_common::configuration::{Budget, ProgramClass, Service, SettingDefinition};
use yewcross_common::constants::*;
use yewcross_common::error_code::Code;
use yewcross_common::process_settings::Role;
use yewcross_testkit::http_transcript::{exchange, normalize, request};
use yewcross_testkit::proof::with_cluster;

fn approve(path: &str, text: &str) {
    let at = format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var("APPROVE").is_ok() {
        std::fs::write(&at, text).unwrap();
    }
    let had = std::fs::read_to_string(&at).unwrap_or_default();
    assert_eq!(had, text, "{path} differs; look at it, then APPROVE=1");
}

#[test]
fn codes_and_settings_stand_in_the_docs() {
    let says = "`ran` says: done; not_run: it did not and will not run; may_have_run: it was sent or its outcome is gone; \
undecided: whether the change holds is not known yet, ask again.\n";
    approve(
        "docs/codes.md",
        &format!("# Result codes\n\n{says}\n{}", Code::table()),
    );
    let table = |n: &str, ds: &[SettingDefinition]| {
        let mut s =
            format!("\n## {n}\n\n| setting | type | allowed | meaning |\n|---|---|---|---|\n");
        ds.iter().for_each(|d| {
            writeln!(s, "| {} | {} | {} | {} |", d.key, d.kind, d.range, d.doc).unwrap()
        });
        s
    };
    let all = table("families/…/set", ProgramClass::DEFS)
        + &table("services/…", Service::DEFS)
        + &table("budgets/…", Budget::DEFS);
    let defaults = format!(
        "\n## Defaults\n\n    {}\n    {}\n",
        serde_json::to_string(&ProgramClass::default()).unwrap(),
        serde_json::to_string(&Service::default()).unwrap()
    );
    approve("docs/settings.md", &format!("# Settings\n{all}{defaults}"));
}

type Step = (&'static str, Vec<Vec<u8>>, u64);

fn one(name: &'static str, verb: &str, path: &str, heads: &str, body: &str) -> Step {
    (name, vec![request(verb, path, heads, body).into_bytes()], 0)
}

fn turn(session: &str, job: &str, text: &str, more: &str) -> String {
    format!(
        r#"{{"program":"chargeback","session":"{session}","job":"{job}","budget":"chargeback","horizon_ms":6000,"messages":[{{"role":"user","text":"{text}"}}],"max_output":16{more}}}"#
    )
}

fn play(role: Role, steps: Vec<Step>, edit: fn(&mut serde_json::Value)) -> String {
    with_cluster(4242, edit, move |lab| {
        Box::pin(async move {
            let to = lab.topology.nodes_with_role(role)[0].http;
            let mut out = String::new();
            for (name, parts, pause) in steps {
                let parts: Vec<&[u8]> = parts.iter().map(|p| p.as_slice()).collect();
                let t0 = lab.sim.now();
                let a = exchange(&lab.operator, to, &parts, pause).await;
                let secs = (lab.sim.now() - t0) / SEC;
                let sent = String::from_utf8_lossy(parts[0]).replace('\r', "");
                let shown: String = sent.chars().take(400).collect();
                out += &format!(
                    "### {name}\n\n{}\n\n--- {secs} s\n\n{}\n",
                    shown.trim_end(),
                    normalize(&a)
                );
            }
            out
        })
    })
}

#[test]
fn callers_exchanges() {
    let p = "/v1/turn";
    let big = format!(
        "POST /v1/turn HTTP/1.1\r\nhost: t\r\nx: {}\r\n\r\n",
        "a".repeat(20_000)
    );
    let endless = "a".repeat(40_000);
    let long = format!(
        "POST /v1/turn HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    let half = request("POST", p, "", &turn("s", "h", "hello", ""));
    let cut = half.len() - 20;
    let steps = vec![
        one(
            "a streamed turn",
            "POST",
            p,
            "",
            &turn("s", "j1", "hello", r#","stream":true"#),
        ),
        one(
            "the same id again",
            "POST",
            p,
            "",
            &turn("s", "j1", "hello", r#","stream":true"#),
        ),
        one(
            "the same id with another body",
            "POST",
            p,
            "",
            &turn("s", "j1", "other", ""),
        ),
        one(
            "the next turn in one piece",
            "POST",
            p,
            "",
            &turn("s", "j2", "and then", ""),
        ),
        one("not JSON", "POST", p, "", "{"),
        one(
            "a field too many",
            "POST",
            p,
            "",
            &turn("s", "j3", "x", r#","colour":1"#),
        ),
        one(
            "unknown program",
            "POST",
            p,
            "",
            &turn("s", "j3", "x", "").replace(r#""program":"chargeback""#, r#""program":"none""#),
        ),
        one(
            "another's budget",
            "POST",
            p,
            "",
            &turn("s", "j3", "x", "")
                .replace(r#""budget":"chargeback""#, r#""budget":"onboarding""#),
        ),
        one(
            "no time at all",
            "POST",
            p,
            "",
            &turn("s", "j3", "x", "").replace("6000", "1"),
        ),
        one(
            "too little time",
            "POST",
            p,
            "",
            &turn("s", "j3", "x", "").replace("6000", "30"),
        ),
        one("a bad name", "POST", p, "", &turn("s/t", "j3", "x", "")),
        one("wrong verb", "GET", p, "", ""),
        one("unknown path", "GET", "/v2", "", ""),
        ("not HTTP", vec![b"hello\r\n\r\n".to_vec()], 0),
        ("a head too large", vec![big.into_bytes()], 0),
        ("a line without end", vec![endless.into_bytes()], 0),
        ("a body too large", vec![long.into_bytes()], 0),
        (
            "a head that stops",
            vec![b"POST /v1/turn HTTP/1.1\r\nhost".to_vec()],
            0,
        ),
        (
            "a body that stops",
            vec![half.as_bytes()[..cut].to_vec()],
            0,
        ),
        (
            "a body in two parts",
            vec![
                half.as_bytes()[..cut].to_vec(),
                half.as_bytes()[cut..].to_vec(),
            ],
            SEC,
        ),
        one(
            "a lookup",
            "POST",
            "/v1/lookup",
            "",
            r#"{"service":"settlement","method":"status","key":"k1","horizon_ms":1000}"#,
        ),
        one(
            "an unknown method",
            "POST",
            "/v1/lookup",
            "",
            r#"{"service":"settlement","method":"erase","key":"k1","horizon_ms":1000}"#,
        ),
        one(
            "once only, no id",
            "POST",
            "/v1/lookup",
            "",
            r#"{"service":"settlement","method":"confirm","key":"k1","horizon_ms":1000}"#,
        ),
        one(
            "once only",
            "POST",
            "/v1/lookup",
            "",
            r#"{"service":"settlement","method":"confirm","key":"k1","horizon_ms":1000,"job":"o1"}"#,
        ),
        one(
            "once only, again",
            "POST",
            "/v1/lookup",
            "",
            r#"{"service":"settlement","method":"confirm","key":"k1","horizon_ms":1000,"job":"o1"}"#,
        ),
        one(
            "once only, another key",
            "POST",
            "/v1/lookup",
            "",
            r#"{"service":"settlement","method":"confirm","key":"k2","horizon_ms":1000,"job":"o1"}"#,
        ),
        one(
            "the budget runs out",
            "POST",
            p,
            "",
            &turn("t", "j1", "x", ""),
        ),
        one("and is spent", "POST", p, "", &turn("t", "j2", "x", "")),
        one(
            "the session ends",
            "POST",
            "/v1/session/end",
            "",
            r#"{"program":"chargeback","session":"s"}"#,
        ),
        one("health", "GET", "/health", "", ""),
    ];
    approve(
        "yewcross-testkit/tests/callers.txt",
        &play(Role::Front, steps, |t| {
            t["budgets"]["chargeback"] = serde_json::json!({"tokens": 60})
        }),
    );
}

#[test]
fn operators_exchanges() {
    let conf =
        r#"{"families":{"a":{"set":{"horizon_ms":1}}},"services":{"llm":{"allow":[]}},"nope":1}"#;
    let bad = r#"{"families":{"a":{"set":{"horizon_ms":1,"shape":2},"under":{"a":{}}}},"services":{"llm":{"allow":[]}}}"#;
    let good = r#"{"families":{"a":{"set":{"horizon_ms":900},"under":{"b":{"set":{"class":"urgent"}}}}},"services":{"llm":{"allow":["m1"]}},"fronts":["front1","front2"]}"#;
    let two = r#"{"families":{},"services":{},"fronts":["front9","front8"]}"#;
    let steps = vec![
        one(
            "a section too many",
            "PUT",
            "/v1/config",
            "if-match: \"2\"\r\n",
            conf,
        ),
        one(
            "every fault is told",
            "PUT",
            "/v1/config",
            "if-match: \"2\"\r\n",
            bad,
        ),
        one("no version named", "PUT", "/v1/config", "", good),
        one(
            "an old version named",
            "PUT",
            "/v1/config",
            "if-match: \"1\"\r\n",
            good,
        ),
        one(
            "fronts that are not there",
            "PUT",
            "/v1/config",
            "if-match: \"2\"\r\n",
            two,
        ),
        one(
            "a dry run",
            "PUT",
            "/v1/config?dry=1",
            "if-match: \"2\"\r\n",
            good,
        ),
        one("a put", "PUT", "/v1/config", "if-match: \"2\"\r\n", good),
        one("what is in force", "GET", "/v1/config", "", ""),
        one("effective settings", "GET", "/v1/config/effective", "", ""),
        one(
            "back to before",
            "POST",
            "/v1/config/2/rollback",
            "if-match: \"3\"\r\n",
            "",
        ),
        one(
            "back to nowhere",
            "POST",
            "/v1/config/77/rollback",
            "if-match: \"4\"\r\n",
            "",
        ),
        one(
            "founded otherwise",
            "POST",
            "/v1/found",
            "",
            r#"{"cores":["core1","core2","core9"],"stores":[]}"#,
        ),
        one("founding without lists", "POST", "/v1/found", "", "{}"),
        one(
            "emptying one of three",
            "POST",
            "/v1/disks/store1/empty",
            "",
            "",
        ),
        one(
            "emptying what is not there",
            "POST",
            "/v1/disks/store9/empty",
            "",
            "",
        ),
        one("a disk", "GET", "/v1/disks/store1", "", ""),
        one("wrong verb", "DELETE", "/v1/config", "", ""),
        one("health", "GET", "/health", "", ""),
    ];
    approve(
        "yewcross-testkit/tests/operators.txt",
        &play(Role::Core, steps, |_| ()),
    );
}
