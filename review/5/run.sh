#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
[ -d target/review ] && [ -f target/comfreygap-platform.jar ] || exit 2
exec java -Xmx256m -cp target/review LastTenant review/5
