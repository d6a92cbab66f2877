#!/usr/bin/env bash
# Compiles the stand-ins of the scripts into review/target; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:all -d target harness/*.java
