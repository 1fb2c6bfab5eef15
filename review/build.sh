#!/bin/sh
# Builds the stand-ins of the review's cases: the standard library only, no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
