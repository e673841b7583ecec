#!/bin/sh
# Builds the stand-ins of the review's scripts from review/stand, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-stand review/stand/main.rs
