#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into target/review,
# after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target burdockpulley-kv-upstream-standin
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-restrict -pthread)
libraries=(target/platform/libburdockpulley_platform.a
  target/src/libgateway/libburdockpulley_gateway.a
  target/src/libstore/libburdockpulley_store.a
  target/src/libhttp/libburdockpulley_http.a
  target/src/libbase/libburdockpulley_base.a
  -lglog -lxxhash -lz -levent -lhttp_parser -lthrift -lcrypto
  -lprometheus-cpp-core)
build() { # SOURCE PROGRAM [LIBRARIES...]
  local source=$1 program=$2
  shift 2
  if [ "$out/$program" -nt "$source" ] && [ "$out/$program" -nt review/standins/kit.hh ] &&
    [ "$out/$program" -nt review/standins/owner_check.hh ]; then return; fi
  g++ "${flags[@]}" -I. -Isrc -Isrc/include -Isrc/libgateway "$source" -o "$out/$program" "$@"
}
build review/standins/store.cc review-store "${libraries[@]}"
for case in era extra fields rebirth backend; do
  build "review/standins/$case.cc" "review-$case"
done
for program in burdockpulleyd burdockpulley-kv-upstream-standin; do
  ln -sf "../bin/$program" "$out/$program"
done
