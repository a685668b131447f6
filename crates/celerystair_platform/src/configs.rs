//! The configuration that is in force in a process, and where a later version is looked for: in the
//! store, whose changes a [`Mirror`] follows, and at peers that say that they have one. `docs/PLATFORM.md`,
//! "Configuration", tells what was weighed.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::{json::typed_response, prelude::*};
use celerystair_policy::prelude::*;
use event_listener::{Event, EventListener};
use futures_util::future::select;
use http::Request;
use slog::{Logger, debug, info, warn};

use crate::{
    backoff::Backoff,
    error::StoreError,
    fleet_source::FleetSource,
    mirror::{Mirror, MirrorPace},
    pacer::CallPriority,
    store::{Object, Store, StoreRevision, shortened},
    value_text::ValueText,
};

/// How long a version that a peer has may reach this process through the store, before it is asked for.
const HEARD_GRACE_MS: u64 = 150;
/// How long a peer may take to send a configuration.
const PEER_TIMEOUT_MS: u64 = 700;
/// The longest wait between two searches for a version that a peer has.
const SEARCH_WAIT_MAX_MS: u64 = 1000;
/// The searches in which only agents are asked: one of them may have read the version meanwhile.
const SEARCHES_BEFORE_ROUTERS: u32 = 2;
/// The longest configuration that is read from a peer. The platform's objects have 1 MiB at most.
const CONFIG_MAX_BYTES: usize = 2 * 1024 * 1024;
/// The path under which a process sends the configuration that it has in force.
const CONFIG_PATH: &str = "/configuration";
/// A version must be in force within two seconds of its write, so its reads wait neither behind other
/// calls nor for long after one that failed.
const PACE: MirrorPace = MirrorPace {
    priority: CallPriority::Urgent,
    batch_delay_max_ms: 100,
    failure_wait_max_ms: 500,
};

/// The configuration in force in this process; cheap to clone.
#[derive(Clone)]
pub struct ConfigFollower {
    inner: Rc<Inner>,
}

struct Inner {
    log: Logger,
    store: Store,
    source: FleetSource,
    client: HttpClient,
    mirror: Mirror<ReadConfig>,
    in_force: RefCell<Option<Rc<ConfigInForce>>>,
    /// The object of the store that was decided on last.
    decided_at: Cell<Option<StoreRevision>>,
    /// The highest version that a peer has, if it is above the one in force.
    heard: RefCell<Option<HeardVersion>>,
    heard_changed: Event,
    changed: Event,
    refused: Cell<u64>,
}

/// A configuration that is in force or may come into force.
struct ConfigInForce {
    config: Rc<ServingConfig>,
    /// The value that the operator wrote, for peers.
    text: Vec<u8>,
}

/// The operator's object as it was read; an error if it is no configuration.
type ReadConfig = Result<Rc<ConfigInForce>, StoreError>;

fn read_config(source: &FleetSource, object: &Object) -> ReadConfig {
    let config = (source.read_config)(object)?;
    Ok(Rc::new(ConfigInForce {
        config: Rc::new(config),
        text: object.value.as_str().into(),
    }))
}

/// A process that has a configuration in force, and sends it to those that ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigSender {
    /// An agent.
    Agent(SocketAddr),
    /// A router. It is asked only if no agent is known to have the version, as its time is that of callers'
    /// requests.
    Router(SocketAddr),
}

#[derive(Clone, Copy, Debug)]
struct HeardVersion {
    version: u64,
    agent: Option<SocketAddr>,
    router: Option<SocketAddr>,
}

impl HeardVersion {
    fn add(&mut self, sender: Option<ConfigSender>) {
        match sender {
            Some(ConfigSender::Agent(address)) => self.agent = Some(address),
            Some(ConfigSender::Router(address)) => self.router = Some(address),
            None => {}
        }
    }

    /// Returns whom to ask in a search for the version, of which this is the n-th.
    fn asked(&self, searches: u32) -> Option<SocketAddr> {
        let router = self.router.filter(|_| searches > SEARCHES_BEFORE_ROUTERS);
        self.agent.or(router)
    }
}

impl ConfigFollower {
    /// Starts tasks that follow the configuration of `source` until `stop` ends.
    pub fn start(source: &FleetSource, store: &Store, log: &Logger, stop: &Stop) -> Self {
        let decoded_source = source.clone();
        let config_key = source.config_key();
        let decode = move |object: &Object| {
            if object.key == config_key {
                Ok(read_config(&decoded_source, object))
            } else {
                Err(StoreError::BadObject {
                    key: object.key.clone(),
                    detail: "it is not the configuration".to_owned(),
                })
            }
        };
        let prefix = source.config_key_prefix;
        let follower = Self {
            inner: Rc::new(Inner {
                log: log.clone(),
                store: store.clone(),
                source: source.clone(),
                client: HttpClient::default(),
                mirror: Mirror::start_paced(store, prefix, decode, PACE, stop),
                in_force: RefCell::default(),
                decided_at: Cell::default(),
                heard: RefCell::default(),
                heard_changed: Event::new(),
                changed: Event::new(),
                refused: Cell::default(),
            }),
        };
        compio::runtime::spawn(follower.clone().follow_store(stop.clone())).detach();
        compio::runtime::spawn(follower.clone().search_heard(stop.clone())).detach();
        follower
    }

    /// Returns the configuration in force, if there is one.
    pub fn config(&self) -> Option<Rc<ServingConfig>> {
        let in_force = self.inner.in_force.borrow();
        in_force.as_ref().map(|in_force| in_force.config.clone())
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.known_version().unwrap_or(0)
    }

    /// Returns how many versions were refused since the start of the process.
    pub fn refused(&self) -> u64 {
        self.inner.refused.get()
    }

    /// Returns how far the version in force is below the highest that a peer has.
    pub fn versions_behind(&self) -> u64 {
        let heard = self.inner.heard.borrow();
        heard.map_or(0, |heard| heard.version.saturating_sub(self.version()))
    }

    /// Returns a listener for the next configuration that comes into force. Create it before reading.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }

    /// Records that a peer has `version` in force, `sender` if its address is known. A version that no
    /// operator would write after the one in force is not looked for.
    pub fn hear(&self, version: u64, sender: Option<ConfigSender>) {
        let known = self.known_version();
        let is_absurd = known.is_some_and(|known| is_version_absurd(version, known));
        if version <= known.unwrap_or(0) || is_absurd {
            return;
        }
        let mut heard = self.inner.heard.borrow_mut();
        let is_higher = heard.is_none_or(|heard| heard.version < version);
        match &mut *heard {
            Some(heard) if heard.version == version => heard.add(sender),
            Some(heard) if version < heard.version => {}
            _ => {
                let mut latest = HeardVersion {
                    version,
                    agent: None,
                    router: None,
                };
                latest.add(sender);
                *heard = Some(latest);
            }
        }
        drop(heard);
        if is_higher {
            debug!(self.inner.log, "config_heard"; "version" => version, "in_force" => known);
            self.inner.heard_changed.notify(usize::MAX);
        }
    }

    /// Serves the configuration in force to peers at `address`, until `stop` drains. The process runs
    /// without that if the address can't be bound.
    pub fn serve_peers(&self, address: SocketAddr, stop: &Stop) {
        let listener = match bind(address) {
            Ok(listener) => listener,
            Err(error) => {
                warn!(self.inner.log, "config_not_served"; "address" => %address,
                    "error" => %error);
                return;
            }
        };
        let (follower, stop) = (self.clone(), stop.clone());
        let handle = move |request: HttpRequest| {
            let response = follower.peer_response(request.uri().path());
            async move { response }
        };
        let log = self.inner.log.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = serve_http(listener, stop, handle).await {
                warn!(log, "config_not_served"; "error" => %error);
            }
        })
        .detach();
    }

    fn peer_response(&self, path: &str) -> HttpResponse {
        let in_force = self.inner.in_force.borrow();
        match &*in_force {
            Some(in_force) if path == CONFIG_PATH => {
                typed_response(200, "application/json", in_force.text.clone())
            }
            _ => typed_response(404, "text/plain", "no configuration\n"),
        }
    }

    fn known_version(&self) -> Option<u64> {
        let in_force = self.inner.in_force.borrow();
        in_force.as_ref().map(|in_force| in_force.config.version)
    }

    async fn follow_store(self, stop: Stop) {
        while !stop.is_ended() {
            let changed = self.inner.mirror.listen();
            self.decide_on_stored();
            select(changed, pin!(stop.ended())).await;
        }
    }

    /// Decides on the store's object, unless it was decided on before.
    fn decide_on_stored(&self) {
        let name = self.inner.source.config_name;
        let Some((revision, read)) = self.inner.mirror.get_in_era(name) else {
            return;
        };
        if self.inner.decided_at.replace(Some(revision)) != Some(revision) {
            self.decide(&read, "store", revision);
        }
    }

    /// Puts a configuration into force, or logs why not.
    fn decide(&self, read: &ReadConfig, from: &str, read_at: StoreRevision) {
        let inner = &self.inner;
        let before = self.known_version();
        let StoreRevision { era, revision } = read_at;
        let read = match read {
            Ok(read) => read,
            Err(error) => {
                inner.refused.set(inner.refused.get() + 1);
                warn!(inner.log, "config_refused"; "in_force" => before, "from" => from,
                    "revision" => revision, "era" => era, "reason" => shortened(error));
                return;
            }
        };
        let config = &read.config;
        match decide_config(config, before) {
            ConfigDecision::ComesIntoForce => {
                info!(inner.log, "config_in_force"; "version" => config.version,
                    "before" => before, "from" => from, "revision" => revision, "era" => era,
                    "routes" => config.routes.len(),
                    "idle_timeout_ms" => config.caller_limits.idle_timeout_ms);
                *inner.in_force.borrow_mut() = Some(read.clone());
                inner.changed.notify(usize::MAX);
            }
            ConfigDecision::Refused(fault) => {
                inner.refused.set(inner.refused.get() + 1);
                warn!(inner.log, "config_refused"; "version" => config.version,
                    "in_force" => before, "from" => from, "revision" => revision, "era" => era,
                    "reason" => shortened(&fault));
            }
            decision @ (ConfigDecision::IsInForce | ConfigDecision::IsOlder) => {
                info!(inner.log, "config_not_newer"; "version" => config.version,
                    "in_force" => before, "from" => from, "revision" => revision, "era" => era,
                    "decision" => decision.as_str());
            }
        }
    }

    /// Looks for each version that a peer has and that doesn't come by itself: a watch may leave a change
    /// out, and the store may be away or have come back from an older copy.
    async fn search_heard(self, stop: Stop) {
        let mut backoff = Backoff::up_to(SEARCH_WAIT_MAX_MS);
        let mut searches = 0;
        while !stop.is_ended() {
            let changed = self.inner.heard_changed.listen();
            if self.heard_later().is_none() {
                backoff.reset();
                searches = 0;
                select(changed, pin!(stop.ended())).await;
                sleep_ms(HEARD_GRACE_MS).await;
                continue;
            }
            searches += 1;
            self.read_store_again().await;
            let heard = self.heard_later();
            if let Some(peer) = heard.and_then(|heard| heard.asked(searches)) {
                self.ask_peer(peer).await;
            }
            if self.heard_later().is_some() {
                backoff.wait().await;
            }
        }
    }

    /// Returns the highest version that a peer has, if it is above the one in force.
    fn heard_later(&self) -> Option<HeardVersion> {
        let heard = *self.inner.heard.borrow();
        heard.filter(|heard| heard.version > self.version())
    }

    async fn read_store_again(&self) {
        let inner = &self.inner;
        match inner.mirror.read_all_again(&inner.store).await {
            Ok(()) => self.decide_on_stored(),
            Err(error) => {
                info!(inner.log, "config_not_read_again"; "error" => shortened(&error));
            }
        }
    }

    async fn ask_peer(&self, peer: SocketAddr) {
        let asked = before_deadline(now_unix_ms() + PEER_TIMEOUT_MS, self.fetch(peer)).await;
        match asked {
            Some(Ok(object)) => {
                let read = read_config(&self.inner.source, &object);
                self.decide(&read, "peer", StoreRevision::default());
            }
            Some(Err(error)) => {
                info!(self.inner.log, "config_not_sent"; "peer" => %peer,
                    "error" => shortened(&error));
            }
            None => {
                info!(self.inner.log, "config_not_sent"; "peer" => %peer, "error" => "no answer");
            }
        }
    }

    /// Fetches the operator's object as a peer has it.
    async fn fetch(&self, peer: SocketAddr) -> Result<Object, StoreError> {
        let failed = |error: &dyn std::fmt::Display| StoreError::Failed {
            detail: error.to_string(),
        };
        let url = format!("http://{peer}{CONFIG_PATH}");
        let request = Request::get(url).body(Bytes::new());
        let request = request.map_err(|error| failed(&error))?;
        let fetching = self.inner.client.fetch(request, CONFIG_MAX_BYTES);
        let response = fetching.await.map_err(|error| failed(&error))?;
        if !response.status().is_success() {
            return Err(failed(&response.status()));
        }
        let bytes = response.into_body();
        Ok(Object {
            key: self.inner.source.config_key(),
            value: ValueText::from_bytes(&bytes).map_err(|error| failed(&error))?,
            ..Object::default()
        })
    }
}
