//! Picking the upstream for a request. This module gathers what is known of each upstream;
//! `celerystair_policy` chooses among them.

use std::rc::Rc;

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::{
    adapters::{adapter_room, fits_alone},
    prelude::*,
};

use crate::{front::PlatformRouter, request::CallerRequest, upstream::Upstream};

/// Maximum requests per slot that a plain service is sent: it queues more than it runs at once.
const PLAIN_LOAD_PER_SLOT_MAX: f64 = 3.0;
/// Time from a router's demand for a model or adapter, over gossip and the agent's decision, to the
/// order to load it.
const LOAD_ORDER_DELAY_MS: u64 = 300;
/// Expected time until an upstream at capacity accepts another request.
const FULL_UPSTREAM_WAIT_MS: u64 = 100;

/// The result of picking an upstream.
pub enum Pick {
    /// The request can be sent to this upstream now.
    Now(Rc<Upstream>),
    /// No upstream accepts the request yet.
    Later {
        /// When an upstream is expected to accept the request.
        ready_unix_ms: u64,
        /// What the request waits for.
        reason: WaitReason,
    },
    /// No ready upstream is left that was not already tried.
    NoneLeft,
}

/// What a waiting request waits for. The `Debug` form is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// A replica of the requested model.
    Model,
    /// The requested adapter at a replica of the model.
    Adapter,
    /// Capacity at an upstream that could serve the request.
    Room,
    /// The next request that an upstream admits by its rate limit or after a pause.
    RateLimit,
}

/// Picks an upstream of `service` that is not in `tried`, of the given software version if there is
/// one. `is_ongoing` tells whether the request is for the rest of a stream of which its caller has events.
pub fn pick_upstream(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    version: Option<&SoftwareVersion>,
    tried: &[UpstreamId],
    is_ongoing: bool,
) -> Pick {
    let now = now_unix_ms();
    let upstreams: Vec<Rc<Upstream>> = router
        .view
        .upstreams(service)
        .into_iter()
        .filter(|upstream| is_usable(upstream, tried))
        .filter(|upstream| version.is_none_or(|version| is_of_version(router, upstream, version)))
        .collect();
    if upstreams.is_empty() {
        return Pick::NoneLeft;
    }
    let active = router.view.config();
    let engine = active
        .as_ref()
        .and_then(|active| active.engine_config(service));
    let Some((model, engine)) = request.head.model.as_ref().zip(engine) else {
        return pick_with_capacity(router, request, &upstreams, PLAIN_LOAD_PER_SLOT_MAX, now);
    };
    let statuses: Vec<Option<Rc<EngineStatus>>> = upstreams
        .iter()
        .map(|upstream| current_status(router, upstream))
        .collect();
    let with_model: Vec<Replica> = upstreams
        .iter()
        .zip(&statuses)
        .filter_map(|(upstream, status)| {
            find_replica(upstream, status.as_deref(), engine, &model.base, now)
        })
        .collect();
    if with_model.is_empty() {
        let ready_unix_ms = ready_unix_ms(&statuses, engine, model, now);
        return Pick::Later {
            ready_unix_ms,
            reason: WaitReason::Model,
        };
    }
    let ready: Vec<Rc<Upstream>> = match &model.adapter {
        None => with_model
            .into_iter()
            .map(|replica| replica.upstream)
            .collect(),
        Some(adapter) => {
            let has_adapter = |replica: &&Replica| {
                let mut adapters = replica.loaded.adapters.iter();
                adapters.any(|a| **a == **adapter)
            };
            let ready: Vec<Rc<Upstream>> = with_model
                .iter()
                .filter(has_adapter)
                .map(|replica| replica.upstream.clone())
                .collect();
            for upstream in &ready {
                upstream.mark_adapter_wanted(&model.base, adapter);
            }
            if ready.is_empty() {
                let is_asked = request_adapter(router, request, &with_model, &model.base, adapter);
                let ready_unix_ms = if is_asked {
                    now + LOAD_ORDER_DELAY_MS
                } else {
                    u64::MAX
                };
                return Pick::Later {
                    ready_unix_ms,
                    reason: WaitReason::Adapter,
                };
            }
            ready
        }
    };
    let load_per_slot_max = engine_load_per_slot_max(is_ongoing);
    match pick_with_capacity(router, request, &ready, load_per_slot_max, now) {
        Pick::Later {
            ready_unix_ms,
            reason: WaitReason::RateLimit,
        } => Pick::Later {
            ready_unix_ms: loading_ready_unix_ms(&statuses, &model.base)
                .map_or(ready_unix_ms, |loaded| loaded.max(now).min(ready_unix_ms)),
            reason: WaitReason::RateLimit,
        },
        pick => pick,
    }
}

fn is_usable(upstream: &Upstream, tried: &[UpstreamId]) -> bool {
    let is_ready = upstream.state() == UpstreamState::Ready && !upstream.is_replaced();
    is_ready && !tried.contains(&upstream.entry.borrow().id)
}

/// Whether the upstream runs this software version, by its entry. An agent may know before the store's
/// list that it has started again since.
fn is_of_version(router: &PlatformRouter, upstream: &Upstream, version: &SoftwareVersion) -> bool {
    upstream.software_version() == *version && router.view.later_starts(upstream).is_empty()
}

/// Returns the gossiped status of this incarnation of the upstream, and none of an earlier one.
fn current_status(router: &PlatformRouter, upstream: &Upstream) -> Option<Rc<EngineStatus>> {
    let entry = upstream.entry.borrow();
    let status = router.engines.get(&entry.id)?;
    (status.started_unix_ms == entry.started_unix_ms).then_some(status)
}

/// A replica of the requested model.
struct Replica {
    upstream: Rc<Upstream>,
    loaded: LoadedModel,
    /// Whether another adapter of the model fits beside the models that the engine holds.
    fits_adapter: bool,
}

/// Returns the model as loaded at the upstream, by its fresh status or else by its store entry.
fn find_replica(
    upstream: &Rc<Upstream>,
    status: Option<&EngineStatus>,
    engine: &EngineConfig,
    model: &ModelName,
    now_unix_ms: u64,
) -> Option<Replica> {
    let entry = upstream.entry.borrow();
    let status = status.filter(|status| status.is_fresh(now_unix_ms));
    let all_loaded = status.map_or(&entry.loaded, |status| &status.loaded);
    let loaded = all_loaded.iter().find(|loaded| loaded.model == *model)?;
    let models = || all_loaded.iter().map(|loaded| &loaded.model);
    let room = adapter_room(engine, models(), models());
    let model = engine.models.get(model);
    Some(Replica {
        upstream: upstream.clone(),
        loaded: loaded.clone(),
        fits_adapter: model.is_some_and(|model| room.fits(model)),
    })
}

/// Returns the time until an upstream of the service admits a request by its rate limit and the pause
/// that it has asked for; 0 if none is ready.
pub fn ms_until_admission(router: &PlatformRouter, service: &ServiceName) -> u64 {
    let now = now_unix_ms();
    let routers = router.router_count_or_default();
    let upstreams = router.view.upstreams(service).into_iter();
    let admits = upstreams
        .filter(|upstream| is_usable(upstream, &[]))
        .map(|upstream| upstream.admits_unix_ms(routers, now));
    admits.min().map_or(0, |admits| admits.saturating_sub(now))
}

/// Returns when a replica of the model is expected to accept requests.
fn ready_unix_ms(
    statuses: &[Option<Rc<EngineStatus>>],
    engine: &EngineConfig,
    requested: &ModelRef,
    now_unix_ms: u64,
) -> u64 {
    let (known, model) = (|| statuses.iter().flatten(), &requested.base);
    if let Some(ready) = loading_ready_unix_ms(statuses, model) {
        return ready.max(now_unix_ms);
    }
    let fits = fits_alone(engine, model, requested.adapter.is_some());
    let Some(config) = engine.models.get(model).filter(|_| fits) else {
        return u64::MAX;
    };
    let copies = KnownCopies {
        in_memory: known().any(|status| status.in_memory.contains(model)),
        on_disk: known().any(|status| status.on_disk.contains(model)),
        engines: statuses.len(),
        unreported_engines: statuses.len() - known().count(),
    };
    let load_ms = shortest_load_ms(config, &copies);
    now_unix_ms + load_ms + LOAD_ORDER_DELAY_MS
}

/// Returns when the load of a replica that is in progress is expected to be done.
fn loading_ready_unix_ms(statuses: &[Option<Rc<EngineStatus>>], model: &ModelName) -> Option<u64> {
    let known = statuses.iter().flatten();
    let loading = known.filter(|status| status.loading.as_ref() == Some(model));
    loading.map(|status| status.ready_unix_ms).min()
}

/// Asks one of the replicas with room for it to load the adapter; returns whether there is one.
/// Rendezvous hashing picks the same replica for the same adapter as long as the set of these does not
/// change.
fn request_adapter(
    router: &PlatformRouter,
    request: &CallerRequest,
    replicas: &[Replica],
    model: &ModelName,
    adapter: &str,
) -> bool {
    let with_room = replicas.iter().filter(|replica| replica.fits_adapter);
    let key = |upstream: &&Rc<Upstream>| {
        // An engine that is loading accepts no order for an adapter until the load is done.
        let status = current_status(router, upstream);
        let is_loading = status.is_some_and(|status| status.loading.is_some());
        let rank = u64::MAX - celerystair_core::rendezvous::weight(adapter, &upstream.id());
        (is_loading, rank)
    };
    let upstreams = with_room.map(|replica| &replica.upstream);
    let Some(first) = upstreams.min_by_key(key) else {
        return false;
    };
    if first.mark_adapter_wanted(model, adapter) {
        router.log_adapter_wanted(request, first, model, adapter);
        router.notify_demand_change();
    }
    true
}

fn pick_with_capacity(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstreams: &[Rc<Upstream>],
    load_per_slot_max: f64,
    now_unix_ms: u64,
) -> Pick {
    let ids: Vec<UpstreamId> = upstreams.iter().map(|upstream| upstream.id()).collect();
    let candidates: Vec<Candidate<'_>> = upstreams
        .iter()
        .zip(&ids)
        .map(|(upstream, id)| candidate(router, upstream, id, now_unix_ms))
        .collect();
    let routers = router.router_count_or_default();
    let admits_unix_ms: Vec<u64> = upstreams
        .iter()
        .map(|upstream| upstream.admits_unix_ms(routers, now_unix_ms))
        .collect();
    let has_room = |index: &usize| has_capacity(&candidates[*index], load_per_slot_max, routers);
    let can_accept = |index: &usize| admits_unix_ms[*index] <= now_unix_ms && has_room(index);
    let indices_with_capacity: Vec<usize> = (0..candidates.len()).filter(can_accept).collect();
    let with_capacity: Vec<Candidate<'_>> = indices_with_capacity
        .iter()
        .map(|index| candidates[*index])
        .collect();
    match choose_upstream(&with_capacity, &request.head.id) {
        Some(best) => Pick::Now(upstreams[indices_with_capacity[best]].clone()),
        None if candidates.is_empty() => Pick::NoneLeft,
        None => {
            let only_limited: Vec<&Rc<Upstream>> = (0..candidates.len())
                .filter(has_room)
                .map(|index| &upstreams[index])
                .collect();
            if only_limited.len() < candidates.len() {
                return Pick::Later {
                    ready_unix_ms: now_unix_ms + FULL_UPSTREAM_WAIT_MS,
                    reason: WaitReason::Room,
                };
            }
            Pick::Later {
                ready_unix_ms: rate_limit_ready_unix_ms(router, request, &only_limited),
                reason: WaitReason::RateLimit,
            }
        }
    }
}

/// Returns when the rate limits and pauses of `upstreams` are expected to admit the request, after
/// those that wait for the same model at this router.
fn rate_limit_ready_unix_ms(
    router: &PlatformRouter,
    request: &CallerRequest,
    upstreams: &[&Rc<Upstream>],
) -> u64 {
    let now = now_unix_ms();
    let routers = router.router_count_or_default();
    let admits = upstreams.iter().map(|u| u.admits_unix_ms(routers, now));
    let first_unix_ms = admits.min().unwrap_or(now);
    let limits = upstreams.iter().filter_map(|u| u.rate_limit.get());
    let per_second: f64 = limits
        .map(|limit| 1000.0 / limit.share.interval_ms(routers).max(1) as f64)
        .sum();
    if per_second == 0.0 {
        // Upstreams that end a pause take as many requests as they have room for.
        return first_unix_ms;
    }
    let ahead = router.waiting.count(&request.queue());
    first_unix_ms + (f64::from(ahead) / per_second * 1000.0) as u64
}

fn candidate<'a>(
    router: &PlatformRouter,
    upstream: &Upstream,
    id: &'a UpstreamId,
    now_unix_ms: u64,
) -> Candidate<'a> {
    let status = current_status(router, upstream).filter(|status| status.is_fresh(now_unix_ms));
    let entry = upstream.entry.borrow();
    let (reported_load, sent_since_report) = status.map_or((0, 0), |status| {
        let sent = upstream.sent_since(status.received_unix_ms);
        (status.waiting.saturating_add(status.running), sent)
    });
    Candidate {
        upstream: id,
        slots: entry.slots,
        reported_load,
        own_load: upstream.in_flight(),
        sent_since_report,
        prefill_tokens: upstream.prefill_tokens(now_unix_ms),
        is_same_domain: entry.failure_domain == router.settings.failure_domain,
        is_in_backoff: upstream.health.get().is_in_backoff(now_unix_ms),
    }
}
