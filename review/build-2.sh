#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --offline --locked --release \
    --manifest-path review/standin-2/Cargo.toml
