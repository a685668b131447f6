//! What routers and agents have in common.
//!
//! | module | holds |
//! |---|---|
//! | [`node`] | logs, metrics, time line, store and configuration of one process |
//! | [`peer`] | the service by which processes hand on the configuration |

pub mod node;
pub mod peer;

/// The types that a role needs.
pub mod prelude {
    pub use crate::{
        node::{Node, NodeError},
        peer::PeerService,
    };
}
