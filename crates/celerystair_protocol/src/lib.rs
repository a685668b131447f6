//! gRPC messages and services between the system's own processes, and the HTTP API of model
//! engines.
//!
//! The code under `generated` is committed; `cargo run -p protogen` regenerates it from
//! `tools/protogen/proto`. `docs/ARCHITECTURE.md` describes each message.

pub mod engine_api;

#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
mod generated {
    include!("generated/celerystair.v1.rs");
}

pub use generated::*;
