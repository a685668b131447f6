//! The configuration that is in force in a process, as a [`Mirror`] of the store tells of its versions.
//! `docs/PLATFORM.md`, "Configuration", tells what was weighed.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use event_listener::{Event, EventListener};
use futures_util::future::select;
use slog::{Logger, info, warn};

use crate::{
    error::StoreError,
    fleet_source::FleetSource,
    mirror::Mirror,
    store::{Object, Store, StoreRevision, shortened},
};

/// The configuration in force in this process; cheap to clone.
#[derive(Clone)]
pub struct ConfigFollower {
    inner: Rc<Inner>,
}

struct Inner {
    log: Logger,
    source: FleetSource,
    mirror: Mirror<ReadConfig>,
    in_force: RefCell<Option<Rc<ConfigInForce>>>,
    /// The object of the store that was decided on last.
    decided_at: Cell<Option<StoreRevision>>,
    changed: Event,
    refused: Cell<u64>,
}

/// A configuration that is in force.
struct ConfigInForce {
    config: Rc<ServingConfig>,
}

/// The operator's object as it was read.
struct ReadConfig {
    config: Result<Rc<ServingConfig>, StoreError>,
}

impl ReadConfig {
    fn new(source: &FleetSource, object: &Object) -> Self {
        Self {
            config: (source.read_config)(object).map(Rc::new),
        }
    }
}

impl ConfigFollower {
    /// Starts tasks that follow the configuration of `source` until `stop` ends.
    pub fn start(source: &FleetSource, store: &Store, log: &Logger, stop: &Stop) -> Self {
        let decoded_source = source.clone();
        let decode = move |object: &Object| Ok(ReadConfig::new(&decoded_source, object));
        let prefix = source.config_key_prefix;
        let follower = Self {
            inner: Rc::new(Inner {
                log: log.clone(),

                source: source.clone(),
                mirror: Mirror::start_with_decoder(store, prefix, decode, stop),
                in_force: RefCell::default(),
                decided_at: Cell::default(),
                changed: Event::new(),
                refused: Cell::default(),
            }),
        };
        compio::runtime::spawn(follower.clone().follow_store(stop.clone())).detach();
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

    /// Returns a listener for the next configuration that comes into force. Create it before reading.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
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
        let config = match &read.config {
            Ok(config) => config,
            Err(error) => {
                inner.refused.set(inner.refused.get() + 1);
                warn!(inner.log, "config_refused"; "in_force" => before, "from" => from,
                    "revision" => revision, "era" => era, "reason" => shortened(error));
                return;
            }
        };
        match decide_config(config, before) {
            ConfigDecision::ComesIntoForce => {
                info!(inner.log, "config_in_force"; "version" => config.version,
                    "before" => before, "from" => from, "revision" => revision, "era" => era,
                    "routes" => config.routes.len(),
                    "idle_timeout_ms" => config.caller_limits.idle_timeout_ms);
                *inner.in_force.borrow_mut() = Some(Rc::new(ConfigInForce {
                    config: config.clone(),
                }));
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
}
