#!/usr/bin/env bash
# Builds what the scripts of the second review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-check ./review/check
