#!/usr/bin/env bash
# Builds everything and runs the demonstration mesh of one site: koppiesrand or cartago.
set -euo pipefail
cd "$(dirname "$0")/.."
site=${1:-koppiesrand}
cargo build --release --workspace --bins --locked
target/release/mesh-demo --site "$site" --sheet "examples/$site.csv" "${@:2}"
