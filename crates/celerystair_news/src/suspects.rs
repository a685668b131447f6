//! Reports on requests that may crash upstreams, as they are sent.

use celerystair_policy::prelude::*;
use celerystair_protocol as protocol;

/// The most reports in one datagram, which stays below 3 kB with them.
pub const REPORTS_PER_DATAGRAM_MAX: usize = 16;

pub(crate) fn to_wire(reports: &[SuspectReport]) -> protocol::SuspectReports {
    let ids = |crashes: &[CrashId]| crashes.iter().map(|crash| crash.0).collect();
    let reports = reports.iter().map(|report| protocol::SuspectReport {
        fingerprint: report.fingerprint,
        crashes: ids(&report.crashes),
        cleared: ids(&report.cleared),
        expires_in_ms: report.expires_in_ms.try_into().unwrap_or(u32::MAX),
    });
    protocol::SuspectReports {
        reports: reports.collect(),
    }
}

pub(crate) fn from_wire(news: protocol::SuspectReports) -> Vec<SuspectReport> {
    let ids = |crashes: Vec<u64>| crashes.into_iter().map(CrashId).collect();
    let reports = news.reports.into_iter().map(|report| SuspectReport {
        fingerprint: report.fingerprint,
        crashes: ids(report.crashes),
        cleared: ids(report.cleared),
        expires_in_ms: report.expires_in_ms.into(),
    });
    reports.collect()
}
