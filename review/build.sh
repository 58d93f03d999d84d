#!/usr/bin/env bash
# Builds the stand-ins of the review's cases; needs only the toolchain, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o "${1:-target/review/standin}" review/standin/main.rs
