//! What routers and agents have in common.
//!
//! | module | holds |
//! |---|---|
//! | [`heard`] | other processes, as last heard of |
//! | [`node`] | logs, metrics, time line, store and configuration of one process |
//! | [`peer`] | the service by which processes hand on the configuration |
//! | [`share`] | news of instances and objects, which rides on the calls of [`spread`] |
//! | [`spread`] | how a new revision reaches every process, with or without the store |

pub mod heard;
pub mod node;
pub mod peer;
pub mod share;
pub mod spread;

/// The types that a role needs.
pub mod prelude {
    pub use crate::{
        heard::KnownPeers,
        node::{Node, NodeError},
        peer::PeerService,
    };
}
