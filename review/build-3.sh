#!/usr/bin/env bash
# Builds the stand-ins of the project, unless its build has made them, and those of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
stand_in=stand-in/target/siskinramp-stand-in-0.1.0-all.jar
if [ ! -f "$stand_in" ]; then
  mvn -B -q -o package -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl stand-in -am
fi
rm -rf review/harness-3/target
mkdir -p review/harness-3/target
javac -Xlint:all,-processing -cp "$stand_in" -d review/harness-3/target review/harness-3/src/review/*.java
