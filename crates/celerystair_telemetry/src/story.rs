//! Timeline events of several processes, merged in hybrid logical time, and filters for those that
//! concern one request, model or upstream.

use std::{collections::BTreeSet, fmt, fs, path::Path};

use celerystair_core::{hybrid::unix_ms_of, prelude::*};

use crate::timeline::Event;

/// The events of one or more timeline files.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// The events, ordered by hybrid logical time.
    pub events: Vec<Event>,
    /// The number of lines that could not be parsed, such as the last one of a killed process.
    pub unreadable_lines: u64,
}

/// A filter of events. Its conditions are combined; an empty one matches every event.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Matches events of this request, and during its lifetime those of its model on its upstreams.
    pub request: String,
    /// Matches events of this model; a base model includes its adapters.
    pub model: String,
    /// Matches events of this upstream and those recorded by its agent.
    pub upstream: String,
}

impl MergedTimeline {
    /// Reads and merges timeline files. In hybrid logical time a message is received after it was
    /// sent, so causes precede their effects even if wall clocks disagree.
    pub fn read(paths: &[impl AsRef<Path>]) -> std::io::Result<Self> {
        let mut timeline = Self::default();
        for path in paths {
            timeline.add_lines(&fs::read_to_string(path)?);
        }
        timeline.sort();
        Ok(timeline)
    }

    /// Parses the text of one timeline file and orders its events.
    pub fn from_text(text: &str) -> Self {
        let mut timeline = Self::default();
        timeline.add_lines(text);
        timeline.sort();
        timeline
    }

    fn add_lines(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.is_empty()) {
            match serde_json::from_str(line) {
                Ok(event) => self.events.push(event),
                Err(_) => self.unreadable_lines += 1,
            }
        }
    }

    fn sort(&mut self) {
        self.events
            .sort_by(|a, b| (a.hybrid_time, &a.process).cmp(&(b.hybrid_time, &b.process)));
    }

    /// Returns the events that match `filter`.
    #[must_use]
    pub fn select(&self, filter: &EventFilter) -> Self {
        let span = (!filter.request.is_empty()).then(|| self.request_span(&filter.request));
        let is_match = |event: &&Event| {
            span.as_ref().is_none_or(|span| span.contains(event))
                && (filter.model.is_empty() || is_of_model(event, &filter.model))
                && (filter.upstream.is_empty()
                    || event.upstream == filter.upstream
                    || event.process == filter.upstream)
        };
        Self {
            events: self.events.iter().filter(is_match).cloned().collect(),
            unreadable_lines: self.unreadable_lines,
        }
    }

    fn request_span<'a>(&'a self, request: &'a str) -> RequestSpan<'a> {
        let events: Vec<&Event> = self
            .events
            .iter()
            .filter(|e| e.request == request)
            .collect();
        RequestSpan {
            request,
            model: events
                .iter()
                .map(|event| base_model(&event.model))
                .find(|model| !model.is_empty())
                .unwrap_or_default(),
            upstreams: events
                .iter()
                .map(|event| event.upstream.as_str())
                .filter(|upstream| !upstream.is_empty())
                .collect(),
            first_hybrid_time: events.first().map_or(u64::MAX, |event| event.hybrid_time),
            last_hybrid_time: events.last().map_or(0, |event| event.hybrid_time),
        }
    }
}

/// The model, upstreams and lifetime of one request.
struct RequestSpan<'a> {
    request: &'a str,
    model: &'a str,
    upstreams: BTreeSet<&'a str>,
    first_hybrid_time: u64,
    last_hybrid_time: u64,
}

impl RequestSpan<'_> {
    fn contains(&self, event: &Event) -> bool {
        if !event.request.is_empty() {
            return event.request == self.request;
        }
        let is_in_lifetime =
            (self.first_hybrid_time..=self.last_hybrid_time).contains(&event.hybrid_time);
        let is_its_model = !event.model.is_empty() && base_model(&event.model) == self.model;
        is_in_lifetime && is_its_model && self.upstreams.contains(event.upstream.as_str())
    }
}

fn base_model(model: &str) -> &str {
    model.split_once(':').map_or(model, |(base, _)| base)
}

fn is_of_model(event: &Event, model: &str) -> bool {
    event.model == model || base_model(&event.model) == model
}

impl fmt::Display for MergedTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start_unix_ms = self
            .events
            .first()
            .map_or(0, |event| unix_ms_of(event.hybrid_time));
        for event in &self.events {
            let since_start_ms = unix_ms_of(event.hybrid_time) - start_unix_ms;
            write!(
                f,
                "{since_start_ms:>9} ms  {:<14} {:<20}",
                event.process, event.kind
            )?;
            for (name, value) in [
                ("request", &event.request),
                ("attempt", &event.attempt),
                ("model", &event.model),
                ("upstream", &event.upstream),
                ("change", &event.change),
                ("", &event.detail),
            ] {
                match (name, value.as_str()) {
                    (_, "") => {}
                    ("", detail) => write!(f, " {detail}")?,
                    (name, value) => write!(f, " {name}={value}")?,
                }
            }
            writeln!(f)?;
        }
        let processes: HashSet<&str> = self.events.iter().map(|e| e.process.as_str()).collect();
        writeln!(
            f,
            "{} events of {} processes",
            self.events.len(),
            processes.len()
        )?;
        if self.unreadable_lines > 0 {
            writeln!(f, "{} lines could not be parsed", self.unreadable_lines)?;
        }
        Ok(())
    }
}
