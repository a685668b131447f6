//! Generates the gRPC code under `crates/celerystair_protocol/src/generated`, which is committed:
//! `cargo run -p protogen`. No build needs it, and it needs no protoc.

use std::path::Path;

fn main() -> eyre::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let protos = root.join("proto");
    let out = root.join("../../crates/celerystair_protocol/src/generated");
    let files = ["agent.proto", "peer.proto", "permits.proto"];
    let descriptors = protox::compile(files, [&protos])?;
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(&out)
        .compile_fds(descriptors)?;
    Ok(())
}
