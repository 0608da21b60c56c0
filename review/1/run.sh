#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figbank ] && [ -x target/review/cases ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec target/review/cases ghost-replica review/1
