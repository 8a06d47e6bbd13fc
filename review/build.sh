#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. The build line of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/stand-in/*.java
