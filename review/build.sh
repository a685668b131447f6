#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR=target/review
exec cargo build --offline --release --manifest-path review/standin/Cargo.toml
