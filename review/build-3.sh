#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --offline --locked --release --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
