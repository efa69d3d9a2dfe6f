#!/usr/bin/env bash
# Builds the stand-ins of the second review and the cases 4 to 8 into target/review-2. Needs a JDK 17 and nothing from a network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/standin-2/*.java $(ls review/[4-8]/Trial*.java 2>/dev/null || true)
