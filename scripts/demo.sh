#!/usr/bin/env bash
# Builds the programs and runs the demonstration mesh of one site, koppiesrand (default) or cartago.
# Further arguments are passed to mesh-demo.
set -euo pipefail
cd "$(dirname "$0")/.."
site=${1:-koppiesrand}
cargo build --release --workspace --bins --locked
target/release/mesh-demo --site "$site" --sheet "examples/$site.csv" "${@:2}"
