#!/usr/bin/env bash
# Builds the stand-ins of the fourth review, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-4
rustc --edition 2024 -O -o target/review-4/review-4 review/standin-4/main.rs
