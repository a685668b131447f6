//! Events of many processes, merged in hybrid logical time, and the part of them that tells
//! what became of one request, model or upstream.

use std::{collections::BTreeSet, fmt, fs, path::Path};

use celerystair_core::{hybrid::unix_ms_of, prelude::*};

use crate::timeline::Event;

/// Events in the order in which they happened.
#[derive(Clone, Debug, Default)]
pub struct MergedTimeline {
    /// The events.
    pub events: Vec<Event>,
    /// Lines that could not be read, such as the last one of a process that was killed.
    pub unreadable_lines: u64,
}

/// Which events are wanted; an empty name wants all.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Events of this request, and what happened meanwhile to its model on its upstreams.
    pub request: String,
    /// Events of this model; a base model stands for its adapters too.
    pub model: String,
    /// Events of this upstream, and those of its agent.
    pub upstream: String,
}

impl MergedTimeline {
    /// Reads and merges files. A message's receipt is after its sending in hybrid time, so
    /// causes stand before their effects whatever the wall clocks say.
    pub fn read(paths: &[impl AsRef<Path>]) -> std::io::Result<Self> {
        let mut timeline = Self::default();
        for path in paths {
            timeline.add_lines(&fs::read_to_string(path)?);
        }
        timeline.sort();
        Ok(timeline)
    }

    /// Merges the lines of one file's text.
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

    /// The events that `filter` wants.
    #[must_use]
    pub fn select(&self, filter: &EventFilter) -> Self {
        let of_request = (!filter.request.is_empty()).then(|| self.span_of(&filter.request));
        let wanted = |event: &&Event| {
            of_request.as_ref().is_none_or(|span| span.has(event))
                && (filter.model.is_empty() || is_of_model(event, &filter.model))
                && (filter.upstream.is_empty()
                    || event.upstream == filter.upstream
                    || event.process == filter.upstream)
        };
        Self {
            events: self.events.iter().filter(wanted).cloned().collect(),
            unreadable_lines: self.unreadable_lines,
        }
    }

    fn span_of<'a>(&'a self, request: &'a str) -> Span<'a> {
        let own: Vec<&Event> = self
            .events
            .iter()
            .filter(|e| e.request == request)
            .collect();
        Span {
            request,
            model: own
                .iter()
                .map(|event| base(&event.model))
                .find(|model| !model.is_empty())
                .unwrap_or_default(),
            upstreams: own
                .iter()
                .map(|event| event.upstream.as_str())
                .filter(|upstream| !upstream.is_empty())
                .collect(),
            first: own.first().map_or(u64::MAX, |event| event.hybrid_time),
            last: own.last().map_or(0, |event| event.hybrid_time),
        }
    }
}

/// What one request touched, and when.
struct Span<'a> {
    request: &'a str,
    model: &'a str,
    upstreams: BTreeSet<&'a str>,
    first: u64,
    last: u64,
}

impl Span<'_> {
    fn has(&self, event: &Event) -> bool {
        if !event.request.is_empty() {
            return event.request == self.request;
        }
        let meanwhile = (self.first..=self.last).contains(&event.hybrid_time);
        let is_its_model = !event.model.is_empty() && base(&event.model) == self.model;
        meanwhile && is_its_model && self.upstreams.contains(event.upstream.as_str())
    }
}

fn base(model: &str) -> &str {
    model.split_once(':').map_or(model, |(base, _)| base)
}

fn is_of_model(event: &Event, model: &str) -> bool {
    event.model == model || base(&event.model) == model
}

impl fmt::Display for MergedTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start_unix_ms = self
            .events
            .first()
            .map_or(0, |event| unix_ms_of(event.hybrid_time));
        for event in &self.events {
            let after_ms = unix_ms_of(event.hybrid_time) - start_unix_ms;
            write!(
                f,
                "{after_ms:>9} ms  {:<14} {:<20}",
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
            writeln!(f, "{} lines could not be read", self.unreadable_lines)?;
        }
        Ok(())
    }
}
