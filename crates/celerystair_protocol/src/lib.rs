//! gRPC messages and services between the system's own processes.
//!
//! The code under `generated` is committed; `cargo run -p protogen` makes it anew from
//! `tools/protogen/proto`. What each message means: `docs/ARCHITECTURE.md`.

pub mod engine_api;

#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
mod generated {
    include!("generated/celerystair.v1.rs");
}

pub use generated::*;
