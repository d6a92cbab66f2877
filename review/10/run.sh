#!/usr/bin/env bash
# A gateway is stopped while it sends answers over slow links. Exits with 1 if LOST breaks.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
timeout -k 3 115 java -cp target/review-2 AnswersAtShutdown review/10
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
