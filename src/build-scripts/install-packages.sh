#!/usr/bin/env bash
# Installs every Debian package that the build, the checks and the tests need.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build make clang-format-14 clang-tidy-14
  libevent-dev libhttp-parser-dev libthrift-dev prometheus-cpp-dev libcxxopts-dev
  libgoogle-glog-dev libboost1.81-dev libboost-test1.81-dev librapidcheck-dev
  libyaml-cpp-dev libxxhash-dev nlohmann-json3-dev libssl-dev zlib1g-dev
  libzstd-dev gnuplot-nox
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
"${sudo_command[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
