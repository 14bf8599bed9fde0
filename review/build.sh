#!/bin/sh
# The stand-ins are Python modules that use tornado from target/deps, so this
# only compiles them and checks that it is there.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import tornado'
python3 -m compileall -q review
