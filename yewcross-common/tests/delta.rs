//! Deltas: encoding round-trips for any pair of values, and small changes give small deltas.

use yewcross_common::documents::delta::{apply, encode};

#[test]
fn any_pair_of_values_round_trips() {
    arbtest::arbtest(|source| {
        let mut text = |lines_max: usize| -> arbtest::arbitrary::Result<Vec<u8>> {
            let mut value = vec![];
            for _ in 0..source.int_in_range(0..=lines_max)? {
                value.extend(format!("line {}\n", source.int_in_range(0..=9u8)?).into_bytes());
                if source.ratio(1, 6)? {
                    value.push(source.arbitrary()?);
                }
            }
            Ok(value)
        };
        let (old, new) = (text(20)?, text(20)?);
        let delta = encode(&old, &new);
        assert_eq!(apply(&old, &delta).as_deref(), Some(&new[..]));
        let mut corrupt = delta.clone();
        let last = corrupt.len() - 1;
        corrupt[last] ^= 1;
        assert_eq!(apply(&old, &corrupt), None);
        Ok(())
    });
    let old: Vec<u8> = (0..500)
        .flat_map(|number| format!("history line number {number}\n").into_bytes())
        .collect();
    let mut new = old[24..].to_vec();
    new.extend(b"one more\n");
    assert!(encode(&old, &new).len() < 60);
}

#[test]
fn a_changed_route_in_a_single_line_document_gives_a_small_delta() {
    let document = |weight: u32| -> Vec<u8> {
        let routes = (0..60).map(|route| {
            format!(
                "{{\\\"label\\\":\\\"r{route}\\\",\\\"weight\\\":{}}}",
                if route == 40 { weight } else { route }
            )
        });
        format!("{{\"text\":\"{}\"}}", routes.collect::<Vec<_>>().join(",")).into_bytes()
    };
    let (old, new) = (document(7), document(8));
    let delta = encode(&old, &new);
    assert!(
        delta.len() < 120,
        "delta of {} bytes for a document of {} bytes",
        delta.len(),
        new.len()
    );
    assert_eq!(apply(&old, &delta), Some(new));
}
