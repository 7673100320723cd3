#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in standins/case*.rs; do
  rustc --edition 2021 -O -o "bin/$(basename "$case" .rs)" "$case"
done
