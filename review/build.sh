#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripted cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review ./review/stand
