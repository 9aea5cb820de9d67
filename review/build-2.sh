#!/bin/sh
# Builds the program of each case of the second review, with every stand-in that it starts, into
# target/review-2/. Needs the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/main.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review-2/$number" "$source"
done
