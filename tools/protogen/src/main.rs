//! Generates the gRPC code under `crates/celerystair_protocol/src/generated`, which is committed:
//! `cargo run -p protogen`. No build needs it, and it needs no protoc. With `--check` it writes
//! nothing and fails if the committed code is not what it would write.

use std::path::Path;

use eyre::bail;

const PROTOS: [&str; 4] = ["agent.proto", "news.proto", "peer.proto", "permits.proto"];
const GENERATED: &str = "celerystair.v1.rs";

fn main() -> eyre::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed = root.join("../../crates/celerystair_protocol/src/generated");
    if !std::env::args().any(|argument| argument == "--check") {
        return generate(root, &committed);
    }
    let fresh = std::env::temp_dir().join(format!("protogen-{}", std::process::id()));
    generate(root, &fresh)?;
    let written = std::fs::read_to_string(fresh.join(GENERATED))?;
    std::fs::remove_dir_all(&fresh)?;
    if written != std::fs::read_to_string(committed.join(GENERATED))? {
        bail!("the committed code is not current: cargo run -p protogen");
    }
    Ok(())
}

fn generate(root: &Path, out: &Path) -> eyre::Result<()> {
    let descriptors = protox::compile(PROTOS, [root.join("proto")])?;
    std::fs::create_dir_all(out)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}
