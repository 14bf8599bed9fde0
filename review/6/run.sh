#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
exec python3 "review/$case/case.py"
