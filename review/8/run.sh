#!/bin/sh
# Streams are taken up after the operator has added a route; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-2 AddedRoute review/8
