#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/turmericroute ] || [ ! -x target/review ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec target/review -case late-leave -record review/2/record.txt
