#!/usr/bin/env bash
# Builds the stand-in of the platform and the driver of the cases into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j8 --target job_platform_standin review_driver
