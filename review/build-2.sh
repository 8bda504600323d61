#!/usr/bin/env bash
# Builds the programs of the cases 4 to 8, which hold all their stand-ins, into
# target/review-2/.  The hosts are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$number" \
    "$source"
done
