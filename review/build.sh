#!/usr/bin/env bash
# Builds the stand-ins and the cases, with the JDK alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
javac -Xlint:-options -d ../target/review standin/*.java */Case*.java
