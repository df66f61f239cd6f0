#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review (cases 11 to 15) start. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/stand-in-3/main.rs
