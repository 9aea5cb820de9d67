#!/usr/bin/env bash
# Builds the program of each case, which contains its stand-ins. Uses rustc and its standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in [0-9]/case.rs; do
    rustc --edition 2021 -O -o "../target/review/case${source%%/*}" "$source"
done
