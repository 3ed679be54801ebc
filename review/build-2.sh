#!/usr/bin/env bash
# Builds the stand-ins and the driver of the second review into target/review-2. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j 4
