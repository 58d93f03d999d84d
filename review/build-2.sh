#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standin-2/main.rs
