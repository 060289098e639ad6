#!/bin/bash
# Builds what the scripts of review/7, review/9 and review/10 start, besides burdockpulleyd:
# the project's stand-in for the store, and the drivers of the cases. To be run
# in the repository after the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
cmake --build target --target burdockpulley-kv-standin
mkdir -p target/review-2
for Case in crowd order poison; do
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread \
    "review/standins-2/$Case.cc" -o "target/review-2/$Case"
done
