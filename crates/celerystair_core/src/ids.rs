//! Newtypes for names and numbers, so that one can't be passed for another.

use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// One try of a request at one upstream; unique over all processes.
    AttemptId
);
name_type!(
    /// A part of a region that fails as one.
    FailureDomain
);
name_type!(
    /// An organisation that the platform serves.
    OrganisationName
);
name_type!(
    /// One life of a process on an instance; a restart gets a new one.
    InstanceId
);
name_type!(
    /// The kind of a request, by which it is weighted.
    KindName
);
name_type!(
    /// A base model.
    ModelName
);
name_type!(
    /// One request of a caller.
    RequestId
);
name_type!(
    /// A group of upstreams that serve the same requests.
    ServiceName
);
name_type!(
    /// An upstream: a model engine or a plain service, with the agent beside it.
    UpstreamId
);

impl AttemptId {
    /// A new identifier that no other process makes.
    pub fn random() -> Self {
        Self::from(format!(
            "a-{:016x}{:08x}",
            rand::random::<u64>(),
            rand::random::<u32>()
        ))
    }
}

impl InstanceId {
    /// A new life of the upstream's agent, or of a router.
    pub fn random(prefix: &str) -> Self {
        Self::from(format!("{prefix}.{:012x}", rand::random::<u64>() >> 16))
    }
}

impl RequestId {
    /// A new identifier that no other process makes.
    pub fn random() -> Self {
        Self::from(format!("r-{:016x}", rand::random::<u64>()))
    }
}

/// What a caller names in `model`: a base model, or an adapter of one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelRef {
    /// The base model.
    pub base: ModelName,
    /// The adapter, if one is named.
    pub adapter: Option<Arc<str>>,
}

impl ModelRef {
    /// Reads `base` or `base:adapter`.
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
