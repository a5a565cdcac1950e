#!/usr/bin/env bash
# Builds the stand-ins of the third review, without a network and without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/standin
