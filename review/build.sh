#!/usr/bin/env bash
# Builds the stand-ins of all cases. The programs of the deploy file must be built too.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/_cases
