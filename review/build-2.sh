#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later folders. They are
# Python and need only what the build of the deploy file puts in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=".:target/deps"
python3 -m compileall -q review/second
python3 -c 'from review.second import client, runs, script, worker'
