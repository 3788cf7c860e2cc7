//! Deltas: any pair of values round-trips, and small changes give small deltas.

use yewcross_common::documents::delta::{apply, encode};

#[test]
fn any_pair_of_values_round_trips() {
    arbtest::arbtest(|u| {
        let mut text = |n: usize| -> arbtest::arbitrary::Result<Vec<u8>> {
            let mut v = vec![];
            for _ in 0..u.int_in_range(0..=n)? {
                v.extend(format!("line {}\n", u.int_in_range(0..=9u8)?).into_bytes());
                if u.ratio(1, 6)? {
                    v.push(u.arbitrary()?);
                }
            }
            Ok(v)
        };
        let (a, b) = (text(20)?, text(20)?);
        let d = encode(&a, &b);
        assert_eq!(apply(&a, &d).as_deref(), Some(&b[..]));
        let mut bad = d.clone();
        let i = bad.len() - 1;
        bad[i] ^= 1;
        assert_eq!(apply(&a, &bad), None);
        Ok(())
    });
    let old: Vec<u8> = (0..500)
        .flat_map(|i| format!("history line number {i}\n").into_bytes())
        .collect();
    let mut new = old[24..].to_vec();
    new.extend(b"one more\n");
    assert!(encode(&old, &new).len() < 60);
}

#[test]
fn one_route_of_a_document_in_one_line_travels_alone() {
    let document = |weight: u32| -> Vec<u8> {
        let routes = (0..60).map(|n| {
            format!(
                "{{\\\"label\\\":\\\"r{n}\\\",\\\"weight\\\":{}}}",
                if n == 40 { weight } else { n }
            )
        });
        format!("{{\"text\":\"{}\"}}", routes.collect::<Vec<_>>().join(",")).into_bytes()
    };
    let (old, new) = (document(7), document(8));
    let changes = encode(&old, &new);
    assert!(changes.len() < 120, "{} of {}", changes.len(), new.len());
    assert_eq!(apply(&old, &changes), Some(new));
}
