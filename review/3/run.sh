#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
python3 "review/$folder/case.py" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
code=$?
if kill -0 "$pid" 2>/dev/null; then
    # A signal has ended the first wait; the case ends its processes now.
    wait "$pid"
    code=2
fi
# Python exits with 1 after an error, too, so a broken rule has its own code.
case $code in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
