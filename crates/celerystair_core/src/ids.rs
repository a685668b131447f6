//! Newtypes for names and identifiers, so that the compiler tells them apart.

use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self(Arc::from(""))
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }
    };
}

name_type!(
    /// The version of an upstream's software. Versions are compared for equality alone.
    SoftwareVersion
);
name_type!(
    /// Identifies one attempt of a request at one upstream; unique across all processes.
    AttemptId
);
name_type!(
    /// The name of a failure domain: a part of a region, such as a zone, that fails as a whole.
    FailureDomain
);
name_type!(
    /// The name of an organisation: callers and operators that share the system with others.
    OrganisationName
);
name_type!(
    /// Identifies one incarnation of an instance; its replacement or restart gets a new identifier.
    InstanceId
);
name_type!(
    /// The kind of a request, which determines its weight in load shedding and in queues.
    KindName
);
name_type!(
    /// The name of a base model.
    ModelName
);
name_type!(
    /// Identifies one request of a caller, over all its attempts.
    RequestId
);
name_type!(
    /// The name of a service: a group of upstreams that serve the same requests.
    ServiceName
);
name_type!(
    /// The name of an upstream: a model engine or a plain service, with the agent beside it.
    UpstreamId
);

impl AttemptId {
    /// Generates an identifier with 96 random bits.
    pub fn random() -> Self {
        Self::from(format!(
            "a-{:016x}{:08x}",
            rand::random::<u64>(),
            rand::random::<u32>()
        ))
    }
}

impl InstanceId {
    /// Generates an identifier of `prefix` and 48 random bits, such as that of a new incarnation of
    /// an agent or router.
    pub fn random(prefix: &str) -> Self {
        Self::from(format!("{prefix}.{:012x}", rand::random::<u64>() >> 16))
    }
}

impl RequestId {
    /// Generates an identifier with 64 random bits.
    pub fn random() -> Self {
        Self::from(format!("r-{:016x}", rand::random::<u64>()))
    }
}

/// A base model or an adapter of one, as a caller names it in the field `model`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelRef {
    /// The base model.
    pub base: ModelName,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<Arc<str>>,
}

impl ModelRef {
    /// Parses `base` or `base:adapter`.
    pub fn parse(text: &str) -> Self {
        match text.split_once(':') {
            Some((base, adapter)) => Self {
                base: base.into(),
                adapter: Some(adapter.into()),
            },
            None => Self {
                base: text.into(),
                adapter: None,
            },
        }
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}:{adapter}", self.base),
            None => f.write_str(&self.base),
        }
    }
}
