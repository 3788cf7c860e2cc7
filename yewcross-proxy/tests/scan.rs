//! The event scanner gives the same result however the stream is split into chunks.

use arbtest::arbtest;
use yewcross_proxy::scan::EventScanner;

fn read(chunks: &[&[u8]]) -> (u64, bool, String) {
    let mut scanner = EventScanner::new(true);
    chunks.iter().for_each(|chunk| scanner.push(chunk));
    (
        scanner.events(),
        scanner.is_complete(),
        String::from_utf8(scanner.take_data()).unwrap(),
    )
}

#[test]
fn data_lines_are_collected_with_a_line_feed_after_each() {
    let cases: [(&str, u64, bool, &str); 9] = [
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
    cases
        .iter()
        .for_each(|(stream, events, is_complete, data)| {
            assert_eq!(
                read(&[stream.as_bytes()]),
                (*events, *is_complete, data.to_string()),
                "{stream:?}"
            )
        });
}

/// A line feed that follows a carriage return in the next chunk belongs to the same line end.
#[test]
fn a_carriage_return_and_line_feed_in_separate_chunks_end_one_line() {
    let chunks: [&[u8]; 4] = [b"data\r", b"\n", b"", b"\n"];
    assert_eq!(read(&chunks), read(&[&chunks.concat()]));
}

#[test]
fn chunk_boundaries_do_not_change_the_result() {
    arbtest(|source| {
        let fragments = [
            "data: ", "data", "id: 4", "\n", "\r\n", "\r", "\n\n", "é", " x", ":", "",
        ];
        let fragment_count = source.int_in_range(0..=30)?;
        let mut stream = String::new();
        for _ in 0..fragment_count {
            stream += source.choose(&fragments)?;
        }
        let bytes = stream.as_bytes();
        let mut cuts = vec![0, bytes.len()];
        for _ in 0..source.int_in_range(0..=6)? {
            cuts.push(source.int_in_range(0..=bytes.len())?);
        }
        cuts.sort();
        let chunks: Vec<&[u8]> = cuts
            .windows(2)
            .map(|bounds| &bytes[bounds[0]..bounds[1]])
            .collect();
        assert_eq!(read(&chunks), read(&[bytes]), "{stream:?} {cuts:?}");
        Ok(())
    });
}
