#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the program: stand-ins for clients, data nodes and discovery, of the
# standard library alone. Run it from anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2/main.rs
