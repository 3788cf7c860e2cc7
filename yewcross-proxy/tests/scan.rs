//! Events are read the same however they are cut into pieces.

use arbtest::arbtest;
use yewcross_proxy::scan::EventScanner;

fn read(pieces: &[&[u8]]) -> (u64, bool, String) {
    let mut s = EventScanner::new(true);
    pieces.iter().for_each(|p| s.push(p));
    (
        s.events(),
        s.is_complete(),
        String::from_utf8(s.take_data()).unwrap(),
    )
}

#[test]
fn data_is_kept_with_a_line_feed_behind_each_line() {
    let rows: [(&str, u64, bool, &str); 9] = [
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, true, "a\nb\n"),
        ("data:a\r\n\r\ndata:  b\r\n\r\n", 2, true, "a\n b\n"),
        ("data: a\rdata: b\r\r", 1, true, "a\nb\n"),
        ("weights: 3\nid: 1\ndata: a\n\n", 1, true, "a\n"),
        (": a word\n\nevent: x\n\n", 0, true, ""),
        ("data\n\n", 1, true, "\n"),
        ("data: a\n", 1, false, "a\n"),
        ("data: a", 1, false, ""),
        ("database: a\n\n", 0, true, ""),
    ];
    rows.iter().for_each(|(t, n, w, d)| {
        assert_eq!(read(&[t.as_bytes()]), (*n, *w, d.to_string()), "{t:?}")
    });
}

/// A line feed that comes alone behind a carriage return ends that line, and only that one.
#[test]
fn a_line_feed_cut_off_from_its_carriage_return_ends_one_line() {
    let pieces: [&[u8]; 4] = [b"data\r", b"\n", b"", b"\n"];
    assert_eq!(read(&pieces), read(&[&pieces.concat()]));
}

#[test]
fn cuts_change_nothing() {
    arbtest(|u| {
        let words = [
            "data: ", "data", "id: 4", "\n", "\r\n", "\r", "\n\n", "é", " x", ":", "",
        ];
        let n = u.int_in_range(0..=30)?;
        let mut t = String::new();
        for _ in 0..n {
            t += u.choose(&words)?;
        }
        let b = t.as_bytes();
        let mut cuts = vec![0, b.len()];
        for _ in 0..u.int_in_range(0..=6)? {
            cuts.push(u.int_in_range(0..=b.len())?);
        }
        cuts.sort();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &b[w[0]..w[1]]).collect();
        assert_eq!(read(&pieces), read(&[b]), "{t:?} {cuts:?}");
        Ok(())
    });
}
