//! Splitting streams into whole events, with any line ends and at any boundary of reads.

use arbtest::{arbitrary::Unstructured, arbtest};
use celerystair_front::events::EventSplitter;
use celerystair_net::events::EventRules;

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Lines of a stream: fields, comments and, as empty ones, the ends of events.
fn draw_lines(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<&'static str>> {
    let count = source.int_in_range(0..=12)?;
    let lines = ["id: 7", "data: a:b", "data", ": comment", "", ""];
    (0..count).map(|_| source.choose(&lines).copied()).collect()
}

/// Returns whether the lines end between two events.
fn ends_between_events(lines: &[&str]) -> bool {
    let since_blank = lines.iter().rev().take_while(|line| !line.is_empty());
    since_blank.into_iter().all(|line| line.starts_with(':'))
}

/// An LF as the first byte of a line would belong to a CR before it.
fn can_follow(line_end: &str, line: &str, next_end: &str) -> bool {
    !(line_end == "\r" && line.is_empty() && next_end == "\n")
}

#[test]
fn a_stream_is_inside_an_event_until_its_blank_line_whatever_ends_the_lines() {
    arbtest(|source| {
        let lines = draw_lines(source)?;
        let mut text = String::new();
        let mut last_end = "\n";
        for line in &lines {
            let mut end = *source.choose(&LINE_ENDS)?;
            if !can_follow(last_end, line, end) {
                end = "\r\n";
            }
            text += line;
            text += end;
            last_end = end;
        }
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let length = source.int_in_range(1..=rest.len())?;
            let (read, later) = rest.split_at(length);
            whole.extend(splitter.push(read).unwrap_or_default());
            rest = later;
        }
        let is_between = ends_between_events(&lines);
        assert_eq!(
            splitter.scanner().is_between_events(),
            is_between,
            "{text:?}"
        );
        assert!(text.as_bytes().starts_with(&whole), "{text:?}");
        let partial_bytes = text.len() - whole.len();
        assert_eq!(splitter.partial_bytes(), partial_bytes, "{text:?}");
        assert_eq!(partial_bytes == 0, is_between, "{text:?}");
        Ok(())
    });
}

#[test]
fn a_line_that_is_cut_is_inside_an_event() {
    for text in [
        "d",
        "data: a",
        "id: 1\ndata: a",
        "data: a\n\n: com",
        "id: 1",
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        assert!(!splitter.scanner().is_between_events(), "{text:?}");
    }
}

#[test]
fn the_id_of_the_last_whole_event_is_found_with_any_line_end() {
    for end in LINE_ENDS {
        let mut splitter = EventSplitter::default();
        let text = "id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\ndata".replace('\n', end);
        splitter.push(text.as_bytes());
        assert_eq!(splitter.last_id(), Some(5), "{text:?}");
    }
}

#[test]
fn a_line_that_is_no_part_of_an_event_ends_a_stream_before_it_wherever_reads_end() {
    let rules = EventRules {
        more_fields: &["celerystair-weight-versions"],
        has_increasing_ids: false,
    };
    let invalid_lines = [
        "HTTP/1.1 500 x",
        "Content-Length: 9",
        "error",
        "dat",
        "datas: a",
        "Data: a",
        " data: a",
        "{\"error\": 1}",
        "celerystair-weight-versions",
        "celerystair-weight-version: 1",
    ];
    arbtest(|source| {
        let before = [
            "",
            "id: 1\ndata: a\n\n",
            "celerystair-weight-versions: 2\ndata\n\n",
        ];
        let before = *source.choose(&before)?;
        let begun = *source.choose(&["", "id: 2\n", ": c\n"])?;
        let invalid = *source.choose(&invalid_lines[..8])?;
        let text = format!("{before}{begun}{invalid}\n\ndata: later\n\n");
        let mut splitter = EventSplitter::new(rules, None);
        let mut whole = Vec::new();
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (read, later) = rest.split_at(source.int_in_range(1..=rest.len())?);
            whole.extend(splitter.push(read).unwrap_or_default());
            rest = later;
        }
        assert!(splitter.scanner().invalid_event().is_some(), "{text:?}");
        let comment = if begun.starts_with(':') { begun } else { "" };
        let expected = format!("{before}{comment}");
        assert_eq!(String::from_utf8_lossy(&whole), expected, "{text:?}");
        Ok(())
    });
    for line in &invalid_lines[8..] {
        let mut splitter = EventSplitter::default();
        splitter.push(format!("{line}\n\n").as_bytes());
        assert!(splitter.scanner().invalid_event().is_some(), "{line}");
    }
}

#[test]
fn an_event_whose_id_is_not_greater_than_all_before_it_ends_a_stream() {
    let rules = EventRules {
        has_increasing_ids: true,
        ..EventRules::default()
    };
    let text_of = |id: &str| format!("id: {id}\ndata: a\n\n");
    for (ids, accepted) in [
        (&["4", "6", "7"][..], 3),
        (&["4", "4"], 1),
        (&["4", "3"], 1),
        (&["4", "x", "4"], 2),
        (&["3"], 0),
        (&["0", "1"], 0),
    ] {
        let text: String = ids.iter().map(|id| text_of(id)).collect();
        let expected: String = ids[..accepted].iter().map(|id| text_of(id)).collect();
        for length in 1..=text.len() {
            let mut splitter = EventSplitter::new(rules, Some(3));
            let pieces = text.as_bytes().chunks(length);
            let whole: Vec<u8> = pieces
                .flat_map(|piece| splitter.push(piece).unwrap_or_default())
                .collect();
            assert_eq!(String::from_utf8_lossy(&whole), expected, "{ids:?}");
            let is_invalid = splitter.scanner().invalid_event().is_some();
            assert_eq!(is_invalid, accepted < ids.len(), "{ids:?}");
        }
    }
}
