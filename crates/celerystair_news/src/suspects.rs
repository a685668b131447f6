//! Reports on requests and prompt parts that may crash upstreams, as they are sent.

use celerystair_policy::prelude::*;
use celerystair_protocol as protocol;

use crate::socket::GossipMessage;

/// The most reports in one datagram, which stays below 4 kB with them.
pub const REPORTS_PER_DATAGRAM_MAX: usize = 16;
/// The most reports on parts in one datagram, which stays below 4 kB with them.
pub const PART_REPORTS_PER_DATAGRAM_MAX: usize = 8;
/// The most datagrams of each kind in one round.
const DATAGRAMS_PER_ROUND_MAX: usize = 4;

/// Returns the messages that report what has changed of the suspects.
pub fn changed_suspects(
    requests: &mut Suspects,
    parts: &mut SuspectParts,
    now_unix_ms: u64,
) -> Vec<GossipMessage> {
    let requests = requests.take_pending(
        DATAGRAMS_PER_ROUND_MAX * REPORTS_PER_DATAGRAM_MAX,
        now_unix_ms,
    );
    let parts = parts.take_pending(
        DATAGRAMS_PER_ROUND_MAX * PART_REPORTS_PER_DATAGRAM_MAX,
        now_unix_ms,
    );
    to_messages(&requests, &parts)
}

/// Returns the messages that report some of the suspects, which `draw` selects.
pub fn sample_of_suspects(
    requests: &mut Suspects,
    parts: &mut SuspectParts,
    draw: u64,
    now_unix_ms: u64,
) -> Vec<GossipMessage> {
    let requests = requests.sample(REPORTS_PER_DATAGRAM_MAX, draw, now_unix_ms);
    let parts = parts.sample(PART_REPORTS_PER_DATAGRAM_MAX, draw, now_unix_ms);
    to_messages(&requests, &parts)
}

fn to_messages(requests: &[SuspectReport], parts: &[PartReport]) -> Vec<GossipMessage> {
    let requests = requests
        .chunks(REPORTS_PER_DATAGRAM_MAX)
        .map(|datagram| GossipMessage::Suspects(datagram.to_vec()));
    let parts = parts
        .chunks(PART_REPORTS_PER_DATAGRAM_MAX)
        .map(|datagram| GossipMessage::SuspectParts(datagram.to_vec()));
    requests.chain(parts).collect()
}

pub(crate) fn to_wire(reports: &[SuspectReport]) -> protocol::SuspectReports {
    let ids = |crashes: &[CrashId]| crashes.iter().map(|crash| crash.0).collect();
    let reports = reports.iter().map(|report| protocol::SuspectReport {
        fingerprint: report.fingerprint,
        crashes: ids(&report.crashes),
        cleared: ids(&report.cleared),
        is_answered: report.is_answered,
        expires_in_ms: report.expires_in_ms.try_into().unwrap_or(u32::MAX),
    });
    protocol::SuspectReports {
        reports: reports.collect(),
        parts: Vec::new(),
    }
}

pub(crate) fn parts_to_wire(reports: &[PartReport]) -> protocol::SuspectReports {
    let to_u32 = |ms: u64| ms.try_into().unwrap_or(u32::MAX);
    let parts = reports.iter().map(|report| protocol::PromptPartReport {
        part: report.part.0,
        position: report.position,
        crashes: report
            .crashes
            .iter()
            .map(|crash| protocol::PromptPartCrash {
                id: crash.id.0,
                request: crash.request,
                since_ms_ago: to_u32(crash.since_ms_ago),
                ended_ms_ago: to_u32(crash.ended_ms_ago),
                is_fresh: crash.is_fresh,
            })
            .collect(),
        cleared: report.cleared.iter().map(|crash| crash.0).collect(),
        known_good_ms_ago: report.known_good_ms_ago.map(to_u32),
        is_answered: report.is_answered,
        expires_in_ms: to_u32(report.expires_in_ms),
    });
    protocol::SuspectReports {
        reports: Vec::new(),
        parts: parts.collect(),
    }
}

pub(crate) fn parts_from_wire(parts: Vec<protocol::PromptPartReport>) -> Vec<PartReport> {
    let reports = parts.into_iter().map(|report| PartReport {
        part: PromptPartId(report.part),
        position: report.position,
        crashes: report
            .crashes
            .iter()
            .map(|crash| PartCrashReport {
                id: CrashId(crash.id),
                request: crash.request,
                since_ms_ago: crash.since_ms_ago.into(),
                ended_ms_ago: crash.ended_ms_ago.into(),
                is_fresh: crash.is_fresh,
            })
            .collect(),
        cleared: report.cleared.into_iter().map(CrashId).collect(),
        known_good_ms_ago: report.known_good_ms_ago.map(u64::from),
        is_answered: report.is_answered,
        expires_in_ms: report.expires_in_ms.into(),
    });
    reports.collect()
}

pub(crate) fn from_wire(news: protocol::SuspectReports) -> Vec<SuspectReport> {
    let ids = |crashes: Vec<u64>| crashes.into_iter().map(CrashId).collect();
    let reports = news.reports.into_iter().map(|report| SuspectReport {
        fingerprint: report.fingerprint,
        crashes: ids(report.crashes),
        cleared: ids(report.cleared),
        is_answered: report.is_answered,
        expires_in_ms: report.expires_in_ms.into(),
    });
    reports.collect()
}
