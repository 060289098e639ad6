#!/usr/bin/env bash
# Fails when a source file is not formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/../.."
git ls-files '*.cpp' '*.h' | grep -v '/gen/' |
  xargs clang-format-14 --dry-run --Werror
