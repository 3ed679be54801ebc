#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases 9 to 13 into target/review-3. The deploy file's build comes first: the cases start target/lanemoor.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/third -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j8 --target job_platform_standin --target third_cases
