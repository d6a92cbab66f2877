#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -d target/review-2 review/harness-2/*.java
