#!/usr/bin/env bash
# Builds the program of the cases 11 to 15: the stand-ins and what drives them. It uses the standard
# library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standins-3/main.rs
