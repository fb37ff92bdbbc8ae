#!/bin/sh
# Builds the stand-ins of the scripts of the second review; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O "$source" -o "target/review-2/$name"
done
