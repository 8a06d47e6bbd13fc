#!/bin/sh
# An answer of one runner has no end; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-2 Endless review/7
