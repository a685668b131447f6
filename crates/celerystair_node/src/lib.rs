//! Shared foundation of the processes of a deployment, routers and agents.
//!
//! | module | contents |
//! |---|---|
//! | [`heard`] | peers from which this process has received messages |
//! | [`node`] | logs, metrics, timeline, store and configuration of one process |
//! | [`peer`] | gRPC service through which peers fetch the configuration |
//! | [`share`] | exchange of instance states and objects, carried by the calls of [`spread`] |
//! | [`spread`] | propagation of configuration revisions, with or without the store |

pub mod heard;
pub mod node;
pub mod peer;
pub mod share;
pub mod spread;

/// The types that most roles need.
pub mod prelude {
    pub use crate::{
        heard::KnownPeers,
        node::{Node, NodeError},
        peer::PeerService,
    };
}
