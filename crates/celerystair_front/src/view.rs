//! The active configuration and the known upstreams, kept current from the store.

use std::{
    cell::{Cell, Ref, RefCell},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_platform::{prelude::*, store::shortened};
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use event_listener::Event;
use futures_util::future::select;

use crate::upstream::Upstream;

/// How often the list of upstreams is refreshed without a change in the store.
const REFRESH_INTERVAL_MS: u64 = 1000;

/// What an entry of the list describes; an error if it describes no usable upstream.
type ListedEntry = Result<Rc<UpstreamEntry>, StoreError>;

/// A configuration, with its routes indexed for lookup.
pub struct ActiveConfig {
    /// The configuration as read.
    pub config: Rc<ServingConfig>,
    /// The configuration's routes, in lookup order.
    pub routes: RouteTable,
}

impl ActiveConfig {
    /// Returns the engine configuration of a service, if its upstreams are engines.
    pub fn engine_config(&self, service: &ServiceName) -> Option<&EngineConfig> {
        self.config.services.get(service)?.engine.as_ref()
    }
}

/// The fleet's configuration and upstreams, as this router knows them; cheap to clone.
#[derive(Clone)]
pub struct FleetView {
    inner: Rc<Inner>,
}

struct Inner {
    log: Logger,
    store: Store,
    configs: ConfigFollower,
    config: RefCell<Option<Rc<ActiveConfig>>>,
    caller_limits: RefCell<CallerLimitHistory>,
    upstreams: RefCell<HashMap<UpstreamId, Rc<Upstream>>>,
    by_service: RefCell<HashMap<ServiceName, Vec<Rc<Upstream>>>>,
    missing: RefCell<MissingUpstreams>,
    /// The runs of upstreams that have left the list.
    unlisted: RefCell<UnlistedRuns<Rc<Upstream>>>,
    entry_life_ms: u64,
    version_histories: RefCell<HashMap<ServiceName, VersionHistory>>,
    /// What the list and agents have told of upstreams' starts.
    known_starts: RefCell<KnownStarts>,
    /// Since when every change of the list of upstreams was seen.
    list_coverage: Cell<ListCoverage>,
    /// The entries of upstreams in the store.
    entries: Mirror<ListedEntry>,
    list_proof: Cell<ListProof>,
    /// Whether a call that proves the list is under way.
    is_proving_list: Cell<bool>,
    /// Notified when such a call has ended.
    list_proof_ended: Event,
    /// The longest timeout that a route has had since this router started.
    longest_timeout_ms: Cell<u64>,
    route_targets: RefCell<RouteTargets>,
}

impl FleetView {
    /// Starts tasks that keep the view current from the store until `stop` ends.
    pub fn start(source: &FleetSource, store: &Store, log: &Logger, stop: &Stop) -> Self {
        store.set_log(log);
        let (read_upstream, entry_log) = (source.read_upstream, log.clone());
        // An entry that describes no upstream replaces the one before it, so its error is a value.
        // Each version is decoded once, and so logged once.
        let read_entry = move |object: &Object| {
            let entry = read_upstream(object);
            if let Err(error) = &entry {
                warn!(entry_log, "entry_unused"; "entry" => shortened(&object.key),
                    "version" => object.version, "error" => shortened(error));
            }
            Ok(entry.map(Rc::new))
        };
        let entries =
            Mirror::start_with_decoder(store, source.upstream_key_prefix, read_entry, stop);
        let view = Self {
            inner: Rc::new(Inner {
                log: log.clone(),
                store: store.clone(),
                configs: ConfigFollower::start(source, store, log, stop),
                config: RefCell::default(),
                caller_limits: RefCell::default(),
                upstreams: RefCell::default(),
                by_service: RefCell::default(),
                missing: RefCell::default(),
                unlisted: RefCell::default(),
                entry_life_ms: source.entry_life_ms,
                version_histories: RefCell::default(),
                known_starts: RefCell::default(),
                list_coverage: Cell::default(),
                entries,
                list_proof: Cell::default(),
                is_proving_list: Cell::default(),
                list_proof_ended: Event::new(),
                longest_timeout_ms: Cell::default(),
                route_targets: RefCell::default(),
            }),
        };
        let (watcher, task_stop) = (view.clone(), stop.clone());
        compio::runtime::spawn(async move { watcher.follow_config(&task_stop).await }).detach();
        let (watcher, store, task_stop) = (view.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move {
            let entries = &watcher.inner.entries;
            watcher.follow_upstreams(entries, &store, &task_stop).await;
        })
        .detach();
        view
    }

    /// Returns what follows the configuration.
    pub fn configs(&self) -> &ConfigFollower {
        &self.inner.configs
    }

    /// Returns the active configuration, if one was read.
    pub fn config(&self) -> Option<Rc<ActiveConfig>> {
        self.inner.config.borrow().clone()
    }

    /// Returns the limits on callers' connections that are and were in force.
    pub fn caller_limits(&self) -> Ref<'_, CallerLimitHistory> {
        self.inner.caller_limits.borrow()
    }

    /// Returns the version of the active configuration, or 0 if none was read.
    pub fn config_version(&self) -> u64 {
        let config = self.inner.config.borrow();
        config.as_ref().map_or(0, |config| config.config.version)
    }

    /// Returns whether requests can be routed: a configuration and an upstream are known.
    pub fn can_route(&self) -> bool {
        self.inner.config.borrow().is_some() && !self.inner.by_service.borrow().is_empty()
    }

    /// Returns the upstreams of a service that are listed, or that went missing in an outage of the
    /// store and still have time to come back.
    pub fn upstreams(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        let by_service = self.inner.by_service.borrow();
        by_service.get(service).cloned().unwrap_or_default()
    }

    /// Returns since when the list of upstreams has been read without an outage of the store, or
    /// `None` during an outage.
    pub fn listed_since_unix_ms(&self) -> Option<u64> {
        let availability = self.inner.store.availability();
        let is_available = availability.failing_since_unix_ms == 0;
        is_available.then_some(availability.recovered_unix_ms)
    }

    /// Returns the software versions of a service that were listed.
    pub fn version_history(&self, service: &ServiceName) -> VersionHistory {
        let histories = self.inner.version_histories.borrow();
        histories.get(service).cloned().unwrap_or_default()
    }

    /// Returns since when every version of upstreams that was listed is known, or `None` if the list
    /// can't be read.
    pub fn versions_known_since_unix_ms(&self) -> Option<u64> {
        let listed_since_unix_ms = self.listed_since_unix_ms()?;
        let coverage = self.inner.list_coverage.get();
        let covered_since_unix_ms = coverage.since_unix_ms(now_unix_ms())?;
        Some(covered_since_unix_ms.max(listed_since_unix_ms))
    }

    /// Whether the list of upstreams is known to hold all that it held at `at_unix_ms`.
    pub fn is_list_proven(&self, at_unix_ms: u64) -> bool {
        self.inner.list_proof.get().covers(at_unix_ms)
    }

    /// Asks the store for what has changed until now, unless the list [is proven](Self::is_list_proven)
    /// for `at_unix_ms`, and returns whether it is then. Requests that wait at the same time share one
    /// call, which `routers` routers make in turn.
    pub async fn prove_list(&self, at_unix_ms: u64, deadline_unix_ms: u64, routers: u32) -> bool {
        let asked_unix_ms = now_unix_ms();
        let deadline_unix_ms = deadline_unix_ms.min(asked_unix_ms + LIST_PROOF_WAIT_MS);
        loop {
            let ended = self.inner.list_proof_ended.listen();
            let proof = self.inner.list_proof.get();
            if proof.covers(at_unix_ms) {
                return true;
            }
            let failing_since_unix_ms = self.inner.store.availability().failing_since_unix_ms;
            if proof.is_hopeless(asked_unix_ms, failing_since_unix_ms)
                || now_unix_ms() >= deadline_unix_ms
            {
                return false;
            }
            if !self.inner.is_proving_list.replace(true) {
                // Requests that wait may leave, so the call is a task of its own.
                compio::runtime::spawn(self.clone().call_for_proof(routers)).detach();
            }
            select(ended, pin!(sleep_until_unix_ms(deadline_unix_ms))).await;
        }
    }

    async fn call_for_proof(self, routers: u32) {
        let inner = &self.inner;
        sleep_until_unix_ms(inner.list_proof.get().next_call_unix_ms(routers)).await;
        let called_unix_ms = now_unix_ms();
        let outcome = inner.entries.catch_up(&inner.store).await;
        match &outcome {
            Ok(()) => self.apply_upstreams(&inner.entries),
            Err(error) => {
                warn!(inner.log, "list_not_proven"; "error" => shortened(error));
            }
        }
        let mut proof = inner.list_proof.get();
        proof.record(called_unix_ms, outcome.is_ok());
        inner.list_proof.set(proof);
        inner.is_proving_list.set(false);
        inner.list_proof_ended.notify(usize::MAX);
    }

    /// Returns since when streams of this route can only have begun at its present services, as far as
    /// this router knows.
    pub fn route_targets_since_unix_ms(&self, route: &Route) -> Option<u64> {
        self.inner.route_targets.borrow().since_unix_ms(route)
    }

    /// Returns the longest timeout that a route has had since this router started.
    pub fn longest_timeout_ms(&self) -> u64 {
        self.inner.longest_timeout_ms.get()
    }

    /// Returns the incarnations of all listed upstreams, except those whose address another one has
    /// taken over.
    pub fn incarnations(&self) -> Vec<UpstreamIncarnation> {
        let upstreams = self.inner.upstreams.borrow();
        let current = upstreams
            .values()
            .filter(|upstream| !upstream.is_replaced());
        current.map(|upstream| upstream.incarnation()).collect()
    }

    /// Returns whether an incarnation of an upstream has ended: it is no longer listed, or another one
    /// has taken its place.
    pub fn has_ended(&self, upstream: &Upstream) -> bool {
        let upstreams = self.inner.upstreams.borrow();
        let current = upstreams.get(&upstream.id());
        let is_current = current.is_some_and(|c| std::ptr::eq(&raw const **c, upstream));
        !is_current || upstream.is_replaced()
    }

    /// Returns the upstream with this id.
    pub fn upstream(&self, id: &UpstreamId) -> Option<Rc<Upstream>> {
        self.inner.upstreams.borrow().get(id).cloned()
    }

    /// Returns a run of an upstream, also one that has left the list lately.
    pub fn run(&self, incarnation: &UpstreamIncarnation) -> Option<Rc<Upstream>> {
        let listed = self.upstream(&incarnation.upstream);
        let listed = listed.filter(|upstream| upstream.incarnation() == *incarnation);
        listed.or_else(|| self.inner.unlisted.borrow().get(incarnation).cloned())
    }

    /// Returns the upstreams of all services.
    pub fn all_upstreams(&self) -> Vec<Rc<Upstream>> {
        self.inner.upstreams.borrow().values().cloned().collect()
    }

    /// Returns the upstreams of all services whose upstreams are engines.
    pub fn engines(&self) -> Vec<Rc<Upstream>> {
        let Some(config) = self.config() else {
            return Vec::new();
        };
        let by_service = self.inner.by_service.borrow();
        let engines = by_service
            .iter()
            .filter(|(service, _)| config.engine_config(service).is_some());
        engines
            .flat_map(|(_, upstreams)| upstreams.iter().cloned())
            .collect()
    }

    /// Records that an agent tells of a run of its upstream.
    pub fn record_start(&self, run: &UpstreamIncarnation, version: Option<&SoftwareVersion>) {
        let mut starts = self.inner.known_starts.borrow_mut();
        starts.record(run, version, StartSource::Agent, now_unix_ms());
    }

    /// Returns the known starts of an upstream that come after this run of it.
    pub fn later_starts(&self, run: &Upstream) -> Vec<KnownStart> {
        let starts = self.inner.known_starts.borrow();
        starts.later_than(&run.incarnation()).to_vec()
    }

    /// Forgets the starts of upstreams that nobody tells of any more.
    pub fn forget_starts(&self, now_unix_ms: u64) {
        let upstreams = self.inner.upstreams.borrow();
        let mut starts = self.inner.known_starts.borrow_mut();
        starts.forget(|id| upstreams.contains_key(id), now_unix_ms);
    }

    async fn follow_config(&self, stop: &Stop) {
        while !stop.is_ended() {
            let changed = self.inner.configs.listen();
            if let Some(config) = self.inner.configs.config() {
                self.activate(config);
            }
            select(changed, pin!(stop.ended())).await;
        }
    }

    /// Routes requests by a configuration that has come into force.
    fn activate(&self, config: Rc<ServingConfig>) {
        if self.config_version() == config.version && self.config().is_some() {
            return;
        }
        let timeouts_ms = config.routes.iter().map(|route| route.timeout_ms);
        let longest_timeout_ms = timeouts_ms.max().unwrap_or_default();
        let longest_timeout_ms = self.longest_timeout_ms().max(longest_timeout_ms);
        self.inner.longest_timeout_ms.set(longest_timeout_ms);
        let mut route_targets = self.inner.route_targets.borrow_mut();
        route_targets.record(&config.routes, now_unix_ms());
        drop(route_targets);
        let mut history = self.inner.caller_limits.borrow_mut();
        history.record(&config.caller_limits, now_unix_ms());
        drop(history);
        let active = ActiveConfig {
            routes: RouteTable::new(&config),
            config,
        };
        *self.inner.config.borrow_mut() = Some(Rc::new(active));
    }

    async fn follow_upstreams(&self, entries: &Mirror<ListedEntry>, store: &Store, stop: &Stop) {
        let mut recovered_unix_ms = 0;
        let mut restored_unix_ms = 0;
        while !stop.is_ended() {
            let changed = entries.listen();
            let availability = store.availability();
            if availability.recovered_unix_ms != recovered_unix_ms {
                recovered_unix_ms = availability.recovered_unix_ms;
                let mut missing = self.inner.missing.borrow_mut();
                missing.record_store_recovery(
                    availability.last_outage_start_unix_ms,
                    recovered_unix_ms,
                );
            }
            if availability.restored_unix_ms != restored_unix_ms {
                restored_unix_ms = availability.restored_unix_ms;
                let mut missing = self.inner.missing.borrow_mut();
                missing.record_restored_copy(restored_unix_ms);
            }
            self.apply_upstreams(entries);
            let now = now_unix_ms();
            let next = self.inner.missing.borrow().next_expiry_unix_ms(now);
            let wake_unix_ms = next.unwrap_or(u64::MAX).min(now + REFRESH_INTERVAL_MS);
            let timer = pin!(sleep_until_unix_ms(wake_unix_ms));
            select(select(changed, timer), pin!(stop.ended())).await;
        }
    }

    fn apply_upstreams(&self, entries: &Mirror<ListedEntry>) {
        let now = now_unix_ms();
        let mut upstreams = self.inner.upstreams.borrow_mut();
        let mut missing = self.inner.missing.borrow_mut();
        let mut listed: HashMap<UpstreamId, Rc<UpstreamEntry>> = HashMap::default();
        for (entry, copy_read_unix_ms) in entries.all_with_copies() {
            if let Ok(entry) = &*entry
                && self.is_entry_believed(&upstreams, entry, copy_read_unix_ms, now)
            {
                listed.insert(entry.id.clone(), entry.clone());
            }
        }
        let gone = upstreams.extract_if(|id, _| {
            let is_kept = listed.contains_key(id) || missing.is_in_grace_period(id, now);
            !is_kept
        });
        let gone: Vec<(UpstreamId, Rc<Upstream>)> = gone.collect();
        for (id, upstream) in gone {
            info!(self.inner.log, "upstream_gone"; "upstream" => %id,
                "in_flight" => upstream.in_flight());
            missing.forget(&id);
            self.keep_unlisted(upstream, now);
        }
        for (id, entry) in listed {
            missing.forget(&id);
            self.apply_entry(&mut upstreams, entry, now);
        }
        self.mark_superseded(&upstreams);
        let mut by_service: HashMap<ServiceName, Vec<Rc<Upstream>>> = HashMap::default();
        for upstream in upstreams.values() {
            let service = upstream.entry.borrow().service.clone();
            by_service
                .entry(service)
                .or_default()
                .push(upstream.clone());
        }
        self.record_versions(&by_service, now);
        *self.inner.by_service.borrow_mut() = by_service;
        drop((upstreams, missing));
    }

    fn record_versions(
        &self,
        by_service: &HashMap<ServiceName, Vec<Rc<Upstream>>>,
        now_unix_ms: u64,
    ) {
        let mut histories = self.inner.version_histories.borrow_mut();
        for (service, upstreams) in by_service {
            let versions = upstreams.iter().map(|upstream| upstream.software_version());
            let history = histories.entry(service.clone()).or_default();
            history.record(versions, now_unix_ms);
        }
        if !by_service.is_empty() {
            let mut coverage = self.inner.list_coverage.get();
            coverage.record_look(now_unix_ms);
            self.inner.list_coverage.set(coverage);
        }
    }

    /// Marks the upstreams whose address a later upstream has taken over. Misdirected upstreams are
    /// not compared: they are already unused, and since clocks differ, the entry of one may claim
    /// the later start although the other upstream replaced it.
    fn mark_superseded(&self, upstreams: &HashMap<UpstreamId, Rc<Upstream>>) {
        let candidates = upstreams.values().filter(|u| !u.is_misdirected.get());
        let entries: Vec<Rc<UpstreamEntry>> =
            candidates.map(|u| u.entry.borrow().clone()).collect();
        let (config, now) = (self.config(), now_unix_ms());
        let may_take_over = |entry: &UpstreamEntry| {
            let config = config.as_ref().map(|active| &active.config);
            let is_service_known = config.is_none_or(|c| c.services.contains_key(&entry.service));
            may_take_over(entry, is_service_known, now)
        };
        let listed: Vec<&UpstreamEntry> = entries.iter().map(|entry| &**entry).collect();
        let replaced = replaced_entries(&listed, may_take_over);
        for (id, upstream) in upstreams {
            let later = replaced.get(id).and_then(|later| upstreams.get(*later));
            let before = upstream.superseded_by.replace(later.cloned());
            if let (Some(later), None) = (later, before) {
                info!(self.inner.log, "upstream_superseded"; "upstream" => %id,
                    "by" => %later.id(), "in_flight" => upstream.in_flight());
            }
        }
    }

    /// Whether an entry may be used beside what is known of its upstream's runs.
    fn is_entry_believed(
        &self,
        upstreams: &HashMap<UpstreamId, Rc<Upstream>>,
        entry: &UpstreamEntry,
        copy_read_unix_ms: Option<u64>,
        now_unix_ms: u64,
    ) -> bool {
        let started_unix_ms = entry.started_unix_ms;
        let listed = upstreams.get(&entry.id);
        let listed_start = listed.map(|upstream| upstream.incarnation().started_unix_ms);
        if listed_start == Some(started_unix_ms) {
            return true;
        }
        let unlisted_start = self.inner.unlisted.borrow().latest_start_unix_ms(&entry.id);
        let known_start = listed_start.max(unlisted_start);
        let entry_life_ms = self.inner.entry_life_ms;
        is_entry_believed(
            started_unix_ms,
            known_start,
            copy_read_unix_ms,
            entry_life_ms,
            now_unix_ms,
        )
    }

    /// Remembers what is known of a run that has left the list. It may serve on, and be listed again.
    fn keep_unlisted(&self, upstream: Rc<Upstream>, now_unix_ms: u64) {
        upstream.connections.close_idle();
        let mut unlisted = self.inner.unlisted.borrow_mut();
        unlisted.insert(upstream.incarnation(), upstream, now_unix_ms);
    }

    /// Applies an entry; a restart, a new address or another software version under the same id makes it
    /// another upstream.
    fn apply_entry(
        &self,
        upstreams: &mut HashMap<UpstreamId, Rc<Upstream>>,
        entry: Rc<UpstreamEntry>,
        now_unix_ms: u64,
    ) {
        let listed = upstreams.get(&entry.id).cloned();
        let listed = listed.filter(|known| known.entry.borrow().is_same_run(&entry));
        let is_listed = listed.is_some();
        let Some(known) = listed.or_else(|| self.take_unlisted(&entry)) else {
            info!(self.inner.log, "upstream_found"; "upstream" => %entry.id,
                "service" => %entry.service, "address" => %entry.address,
                "software_version" => %entry.software_version,
                "state" => ?entry.state, "models" => entry.loaded.len());
            let found = Rc::new(Upstream::new(entry));
            self.list(upstreams, found, now_unix_ms);
            return;
        };
        let before = known.entry.borrow().state;
        if !is_listed {
            info!(self.inner.log, "upstream_listed_again"; "upstream" => %entry.id,
                "state" => ?known.state(), "in_flight" => known.in_flight());
            self.list(upstreams, known.clone(), now_unix_ms);
        }
        if before != entry.state {
            info!(self.inner.log, "upstream_state"; "upstream" => %entry.id,
                "state" => ?entry.state, "in_flight" => known.in_flight());
        }
        let state = state_of_run(before, entry.state);
        let entry = if state == entry.state {
            entry
        } else {
            Rc::new(UpstreamEntry {
                state,
                ..(*entry).clone()
            })
        };
        *known.entry.borrow_mut() = entry;
    }

    /// Lists a run, in the place of an earlier one.
    fn list(
        &self,
        upstreams: &mut HashMap<UpstreamId, Rc<Upstream>>,
        run: Rc<Upstream>,
        now_unix_ms: u64,
    ) {
        let mut starts = self.inner.known_starts.borrow_mut();
        let version = run.software_version();
        let incarnation = run.incarnation();
        starts.record(&incarnation, Some(&version), StartSource::List, now_unix_ms);
        drop(starts);
        if let Some(replaced) = upstreams.insert(run.id(), run) {
            self.keep_unlisted(replaced, now_unix_ms);
        }
    }

    /// Takes out the run that an entry tells of, if it had left the list.
    fn take_unlisted(&self, entry: &UpstreamEntry) -> Option<Rc<Upstream>> {
        let incarnation = UpstreamIncarnation {
            upstream: entry.id.clone(),
            started_unix_ms: entry.started_unix_ms,
        };
        let mut unlisted = self.inner.unlisted.borrow_mut();
        let is_same_run = |known: &Rc<Upstream>| known.entry.borrow().is_same_run(entry);
        if !unlisted.get(&incarnation).is_some_and(is_same_run) {
            return None;
        }
        unlisted.take(&incarnation)
    }
}
