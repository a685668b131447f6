//! Splitting streams into whole events, with any line ends and at any boundary of reads.

use arbtest::{arbitrary::Unstructured, arbtest};
use celerystair_front::events::EventSplitter;

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
