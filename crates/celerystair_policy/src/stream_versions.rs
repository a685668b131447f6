//! At which software version a stream goes on. What upstreams of two versions write doesn't fit
//! together, and upstreams don't check it, so a stream of which an event was passed on goes on only
//! at the version that began it: after its upstream was lost, and when its caller takes it up again
//! at any router, often because the router that knew the version was killed.
//!
//! So a router tells other processes the origin of a stream before it passes the first event on:
//! [`stream_holders`](crate::stream_holders) selects them. A router that is asked to take a stream up and
//! doesn't know its origin asks them. One that can't find out refuses, unless no other version has been
//! listed while the stream may have begun.
//!
//! The load of the records, and what else was weighed: `docs/PLATFORM.md`.

use celerystair_core::{prelude::*, rendezvous};

use crate::{fleet::Route, suspect_part::PromptPartId};

/// How long a router waits for the first answer of the holders before it asks again.
pub const ORIGIN_RETRY_MS: u64 = 60;
/// How long a router waits for the answers of the holders altogether.
pub const ORIGIN_WAIT_MS: u64 = 250;
/// An origin is held for at least this long, and for twice as long at most.
pub(crate) const GENERATION_MS: u64 = 60_000;
/// The most origins that a process holds in each of two generations.
const GENERATION_MAX: usize = 32 * 1024;
/// The most origins that are held for one identifier: two show that it isn't unique.
const ORIGINS_PER_STREAM_MAX: usize = 2;
/// A version that has left the list for less than this time may come back: an upstream that has
/// crashed starts again within seconds.
const VERSION_RETURN_MS: u64 = 10_000;
/// `Retry-After` of a stream whose version may come back.
const VERSION_RETRY_AFTER_MS: u64 = 500;
/// A caller may take a stream up this many times its route's timeout after it began, or after it was
/// taken up last.
const STREAM_LIFE_TIMEOUTS: u64 = 2;
/// A stream is taken to live for at least this long. Its caller may take it up several times, and its
/// route's timeout may have been longer when it began, before this process started. As long as
/// a record is held at most.
const STREAM_LIFE_MIN_MS: u64 = 2 * GENERATION_MS;
/// A process that has not looked at its list for this long was frozen or starved, and versions may have
/// come and gone meanwhile. It looks every second at least.
const LIST_GAP_MAX_MS: u64 = 3000;
/// How old the proof of the list may be when a stream goes on at an upstream for its version. An
/// upstream that crashes takes longer to serve again.
pub const VERSION_PROOF_AGE_MAX_MS: u64 = 250;
/// How long a request waits for the proof of the list: longer than a call to the store takes.
pub const LIST_PROOF_WAIT_MS: u64 = 800;
/// `Retry-After` of a stream for which the list could not be proven.
pub const LIST_PROOF_RETRY_AFTER_MS: u64 = 500;
/// The shortest interval between two calls that prove the list.
const LIST_PROOF_INTERVAL_MS: u64 = 100;
/// The interval for each router: 500 calls a second of all together.
const LIST_PROOF_INTERVAL_PER_ROUTER_MS: u64 = 2;

/// Identifies a stream, by the request that brought its first event. A stream has two identifiers, as
/// some callers that take it up don't name that request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the identifier by the request's id.
    pub fn begun_by(request: &RequestId) -> Self {
        Self(rendezvous::fingerprint(request.as_bytes()))
    }

    /// Returns the identifier that identical requests share: those of one fingerprint that ask the same
    /// model to answer a prompt of the same shared parts.
    pub fn of_identical(
        fingerprint: u64,
        model: Option<&ModelRef>,
        prompt: &[PromptPartId],
    ) -> Self {
        let model = model.map(ToString::to_string).unwrap_or_default();
        let mut bytes = fingerprint.to_le_bytes().to_vec();
        for part in prompt {
            bytes.extend_from_slice(&part.0.to_le_bytes());
        }
        bytes.extend_from_slice(model.as_bytes());
        Self(rendezvous::fingerprint(&bytes))
    }

    /// Returns the identifier by which the stream is looked up that a request takes up. The record of
    /// the request that it names proves the origin; that of an identical request doesn't, as
    /// it may have begun another stream.
    pub fn taken_up(resumes: Option<&RequestId>, identical: Self) -> Self {
        resumes.map_or(identical, Self::begun_by)
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The version of the upstream's software.
    pub version: SoftwareVersion,
}

/// The origins of streams. Of two generations, the older is dropped as a whole when the younger is full
/// or old enough. Identical requests may begin streams at different origins, so that an identifier can
/// have several.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    young: HashMap<StreamId, Vec<RecordedOrigin>>,
    old: HashMap<StreamId, Vec<RecordedOrigin>>,
    young_since_unix_ms: u64,
}

#[derive(Clone, Debug)]
struct RecordedOrigin {
    origin: StreamOrigin,
    recorded_unix_ms: u64,
}

impl StreamOrigins {
    /// Records an origin of a stream, beside others that were recorded for it before.
    pub fn insert(&mut self, stream: StreamId, origin: StreamOrigin, now_unix_ms: u64) {
        self.insert_recorded(stream, origin, now_unix_ms, now_unix_ms);
    }

    /// Records an origin that another process recorded at `recorded_unix_ms`.
    pub fn insert_recorded(
        &mut self,
        stream: StreamId,
        origin: StreamOrigin,
        recorded_unix_ms: u64,
        now_unix_ms: u64,
    ) {
        let is_old = now_unix_ms >= self.young_since_unix_ms.saturating_add(GENERATION_MS);
        if is_old || self.young.len() >= GENERATION_MAX {
            self.old = std::mem::take(&mut self.young);
            self.young_since_unix_ms = now_unix_ms;
        }
        let known = self.young.remove(&stream);
        let mut recorded = known.unwrap_or_else(|| self.recorded(stream).to_vec());
        let mut recorded_unix_ms = recorded_unix_ms;
        recorded.retain(|known| {
            let end_unix_ms = known.recorded_unix_ms.saturating_add(2 * GENERATION_MS);
            if known.origin == origin {
                recorded_unix_ms = recorded_unix_ms.max(known.recorded_unix_ms);
            }
            known.origin != origin && now_unix_ms < end_unix_ms
        });
        recorded.truncate(ORIGINS_PER_STREAM_MAX - 1);
        recorded.push(RecordedOrigin {
            origin,
            recorded_unix_ms,
        });
        self.young.insert(stream, recorded);
    }

    /// Returns the origin of a stream, if one is known and no other one.
    pub fn get(&self, stream: StreamId) -> Option<&StreamOrigin> {
        match self.recorded(stream) {
            [only] => Some(&only.origin),
            _ => None,
        }
    }

    /// Returns all origins that are known of a stream.
    pub fn all(&self, stream: StreamId) -> impl Iterator<Item = &StreamOrigin> {
        self.recorded(stream).iter().map(|known| &known.origin)
    }

    /// Returns all origins that are known of a stream, and when each was recorded last.
    pub fn all_recorded(&self, stream: StreamId) -> impl Iterator<Item = (&StreamOrigin, u64)> {
        let recorded = self.recorded(stream).iter();
        recorded.map(|known| (&known.origin, known.recorded_unix_ms))
    }

    fn recorded(&self, stream: StreamId) -> &[RecordedOrigin] {
        let recorded = self.young.get(&stream).or_else(|| self.old.get(&stream));
        recorded.map_or(&[], Vec::as_slice)
    }
}

/// The versions of a service's upstreams that were listed, and when each was listed last.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    last_listed_unix_ms: HashMap<SoftwareVersion, u64>,
}

impl VersionHistory {
    /// Records the versions that are listed now.
    pub fn record(
        &mut self,
        versions: impl IntoIterator<Item = SoftwareVersion>,
        now_unix_ms: u64,
    ) {
        for version in versions {
            self.last_listed_unix_ms.insert(version, now_unix_ms);
        }
    }

    /// Returns the only version that has been listed since `since_unix_ms`, if there is only one.
    pub fn sole_version_since(&self, since_unix_ms: u64) -> Option<SoftwareVersion> {
        let listed = self.last_listed_unix_ms.iter();
        let mut recent = listed.filter(|(_, last_unix_ms)| **last_unix_ms >= since_unix_ms);
        let (version, _) = recent.next()?;
        recent.next().is_none().then(|| version.clone())
    }

    /// Returns `Retry-After` for a stream of a version without a ready upstream: 0 if it won't come
    /// back.
    pub fn retry_after_ms(&self, version: &SoftwareVersion, now_unix_ms: u64) -> u64 {
        let last_unix_ms = self.last_listed_unix_ms.get(version);
        let may_return = last_unix_ms.is_some_and(|last| now_unix_ms < last + VERSION_RETURN_MS);
        if may_return {
            VERSION_RETRY_AFTER_MS
        } else {
            0
        }
    }
}

/// Since when a process has seen every change of the list of upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCoverage {
    since_unix_ms: Option<u64>,
    looked_unix_ms: u64,
}

impl ListCoverage {
    /// Records that the process has looked at the list, which has been read.
    pub fn record_look(&mut self, now_unix_ms: u64) {
        let is_interrupted = now_unix_ms > self.looked_unix_ms.saturating_add(LIST_GAP_MAX_MS);
        if is_interrupted || self.since_unix_ms.is_none() {
            self.since_unix_ms = Some(now_unix_ms);
        }
        self.looked_unix_ms = now_unix_ms;
    }

    /// Returns since when every change was seen; `None` if some may have been missed just now.
    pub fn since_unix_ms(&self, now_unix_ms: u64) -> Option<u64> {
        let is_current = now_unix_ms <= self.looked_unix_ms.saturating_add(LIST_GAP_MAX_MS);
        self.since_unix_ms.filter(|_| is_current)
    }
}

/// When the list of upstreams was last proven to be current: by an answer of the store to a call that
/// was made for it. That the process looks at its copy, or that no call has failed, proves nothing: a
/// watch waits, and a link may lose everything in silence.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListProof {
    /// When the last call was made that was answered.
    proven_unix_ms: Option<u64>,
    /// When the last call was made that was not answered.
    failed_unix_ms: Option<u64>,
}

impl ListProof {
    /// Records whether the call that was made at `called_unix_ms` was answered.
    pub fn record(&mut self, called_unix_ms: u64, is_answered: bool) {
        let last_unix_ms = if is_answered {
            &mut self.proven_unix_ms
        } else {
            &mut self.failed_unix_ms
        };
        *last_unix_ms = Some(called_unix_ms);
    }

    /// Whether the list is known to hold all that it held at `at_unix_ms`.
    pub fn covers(&self, at_unix_ms: u64) -> bool {
        self.proven_unix_ms
            .is_some_and(|proven| proven >= at_unix_ms)
    }

    /// Whether no further call is worth a wait for a request that has asked at `asked_unix_ms`: one has
    /// failed since, in an outage that had lasted for [`LIST_PROOF_WAIT_MS`] by then. A call that fails
    /// alone is made again. `failing_since_unix_ms` is when the outage began, 0 without one.
    pub fn is_hopeless(&self, asked_unix_ms: u64, failing_since_unix_ms: u64) -> bool {
        let is_lasting = failing_since_unix_ms > 0
            && failing_since_unix_ms.saturating_add(LIST_PROOF_WAIT_MS) <= asked_unix_ms;
        is_lasting && self.has_failed_since(asked_unix_ms)
    }

    /// Whether a call failed that was made at `since_unix_ms` or later.
    pub fn has_failed_since(&self, since_unix_ms: u64) -> bool {
        self.failed_unix_ms
            .is_some_and(|failed| failed >= since_unix_ms)
    }

    /// Returns when the next call may be made. All routers together make as many calls, however many
    /// they are, as the store's rate is shared.
    pub fn next_call_unix_ms(&self, routers: u32) -> u64 {
        let shared_ms = LIST_PROOF_INTERVAL_PER_ROUTER_MS * u64::from(routers);
        let interval_ms = LIST_PROOF_INTERVAL_MS.max(shared_ms);
        let called_unix_ms = self.proven_unix_ms.max(self.failed_unix_ms);
        called_unix_ms.map_or(0, |called| called.saturating_add(interval_ms))
    }
}

/// Since when each route, by host and path prefix, has led to its present services.
#[derive(Clone, Debug, Default)]
pub struct RouteTargets(HashMap<(String, String), (Vec<ServiceName>, u64)>);

impl RouteTargets {
    /// Records the routes that are in force from now on.
    pub fn record(&mut self, routes: &[Route], now_unix_ms: u64) {
        let mut before = std::mem::take(&mut self.0);
        self.0.extend(routes.iter().map(|route| {
            let targets = route.targets.iter();
            let services: Vec<ServiceName> = targets.map(|t| t.service.clone()).collect();
            let key = route_key(route);
            let known = before.remove(&key).filter(|(known, _)| *known == services);
            (key, known.unwrap_or((services, now_unix_ms)))
        }));
    }

    /// Returns since when a stream of this route can only have begun at the services that the route has
    /// now; `None` if other ones are in force.
    pub fn since_unix_ms(&self, route: &Route) -> Option<u64> {
        let (services, since_unix_ms) = self.0.get(&route_key(route))?;
        let targets = route.targets.iter().map(|target| &target.service);
        targets.eq(services).then_some(*since_unix_ms)
    }
}

fn route_key(route: &Route) -> (String, String) {
    (route.host.to_ascii_lowercase(), route.path_prefix.clone())
}

/// Returns the version of a stream whose origin no process knows: the only one that was listed while
/// it may have begun, if the list was current all the while. `None` if that can't be told.
///
/// `longest_timeout_ms` is the longest timeout that any route has had. `listed_since_unix_ms` is since
/// when every change of the list was seen, without an outage, if the list can be read.
pub fn assumed_version(
    history: &VersionHistory,
    longest_timeout_ms: u64,
    listed_since_unix_ms: Option<u64>,
    now_unix_ms: u64,
) -> Option<SoftwareVersion> {
    let life_ms = longest_timeout_ms.saturating_mul(STREAM_LIFE_TIMEOUTS);
    let began_unix_ms = now_unix_ms.saturating_sub(life_ms.max(STREAM_LIFE_MIN_MS));
    let is_covered = listed_since_unix_ms.is_some_and(|since| since <= began_unix_ms);
    is_covered
        .then(|| history.sole_version_since(began_unix_ms))
        .flatten()
}
