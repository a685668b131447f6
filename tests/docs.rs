//! The operators' pages name everything that they promise to name.

use celerystair::core::prelude::RefusalReason;

#[test]
fn every_refusal_reason_is_described() {
    let page = include_str!("../docs/OPERATIONS.md");
    for reason in RefusalReason::ALL {
        let word = format!("`{}`", reason.as_str());
        assert!(
            page.contains(&word),
            "{word} is missing in docs/OPERATIONS.md"
        );
    }
}

#[test]
fn every_metric_is_described() {
    let page = include_str!("../docs/METRICS.md");
    let source = include_str!("../crates/celerystair_telemetry/src/metrics.rs");
    let names = source
        .split('"')
        .filter(|text| text.starts_with("celerystair_"));
    for name in names {
        assert!(page.contains(name), "{name} is missing in docs/METRICS.md");
    }
}
