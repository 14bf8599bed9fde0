#!/usr/bin/env bash
# Starts a simulated store, three entries and ten simulated workers, each with
# an agent and a simulated target, as processes on loopback. Then runs the demo
# session.
set -euo pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=${1:-shortlist}
BIN=${2:-.venv/bin}
LOGS=${DEMO_LOGS:-build/demo}/$DEPLOYMENT
BASE=${DEMO_BASE_PORT:-21000}
mkdir -p "$LOGS"

export DAMASKPIN_FLEET_KEY=demo-fleet-key-not-a-secret
OPERATOR_TOKEN=demo-operator
DAMASKPIN_OPERATOR_TOKEN_SHA256=$(printf %s "$OPERATOR_TOKEN" | sha256sum | cut -d' ' -f1)
export DAMASKPIN_OPERATOR_TOKEN_SHA256

pids=()
stop_all() {
    trap - EXIT
    kill "${pids[@]}" 2>/dev/null || true
    # Processes need time for an orderly stop; they are killed after 10 s.
    for _ in $(seq 100); do
        kill -0 "${pids[@]}" 2>/dev/null || break
        sleep 0.1
    done
    kill -9 "${pids[@]}" 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 1' INT TERM

# start NAME COMMAND...: runs a command in the background with its own log.
start() {
    local name=$1
    shift
    "$@" >"$LOGS/$name.out" 2>"$LOGS/$name.log" </dev/null &
    pids+=($!)
    echo "$name $!" >>"$LOGS/pids"
}
: >"$LOGS/pids"

STORE=http://127.0.0.1:$BASE
SEEDS=http://127.0.0.1:$((BASE + 11)),http://127.0.0.1:$((BASE + 12)),http://127.0.0.1:$((BASE + 13))
start store "$BIN/python" -m standins.store --port "$BASE"

# start_entry NUMBER REGION DATA_CENTRE: starts an entry.
start_entry() {
    start "entry-$1" "$BIN/python" -m damaskpin entry \
        --instance "entry-$1" --region "$2" --data-centre "$3" \
        --listen "tcp://127.0.0.1:$((BASE + 20 + $1))" \
        --http-port "$((BASE + 10 + $1))" --seeds "$SEEDS" --store "$STORE"
}
# start_worker NUMBER REGION DATA_CENTRE RACK: starts a worker with its agent
# and target.
start_worker() {
    local port=$((BASE + 100 + $1 * 10))
    start "worker-$1" "$BIN/python" -m standins.worker \
        --port "$port" --accelerators 8
    start "agent-$1" "$BIN/python" -m damaskpin agent \
        --instance "agent-$1" --region "$2" --data-centre "$3" \
        --rack "$4" --worker "worker-$1" --accelerators 8 \
        --listen "tcp://127.0.0.1:$((port + 1))" \
        --http-port "$((port + 2))" --seeds "$SEEDS" \
        --worker-url "http://127.0.0.1:$port"
    start "target-$1" "$BIN/python" -m standins.target \
        --port "$((port + 3))" --agent "http://127.0.0.1:$((port + 2))" \
        --service "$DEPLOYMENT" --slots 8
}

# start_fleet REGION FIRST_DC SECOND_DC RACK RACK RACK REGION DC RACK: starts
# three entries, and ten workers in three data centres with at most three
# workers a rack.
start_fleet() {
    start_entry 1 "$1" "$2"
    start_entry 2 "$1" "$3"
    start_entry 3 "$7" "$8"
    for number in 1 2 3; do start_worker $number "$1" "$2" "$4"; done
    start_worker 4 "$1" "$2" "$5"
    for number in 5 6 7; do start_worker $number "$1" "$3" "$6"; done
    for number in 8 9 10; do start_worker $number "$7" "$8" "$9"; done
}
case $DEPLOYMENT in
shortlist)
    start_fleet gauteng sandton midrand sandton-1 sandton-2 midrand-1 \
        western-cape observatory observatory-1
    ;;
repair)
    start_fleet almaty almaty-medeu almaty-bostandyk medeu-1 medeu-2 \
        bostandyk-1 astana astana-yesil yesil-1
    ;;
*)
    echo "unknown deployment $DEPLOYMENT" >&2
    exit 2
    ;;
esac

status=0
"$BIN/python" -m demo.session --entries "$SEEDS" \
    --operator-token "$OPERATOR_TOKEN" --deployment "$DEPLOYMENT" || status=$?
if [ "$status" -ne 0 ]; then
    echo "demo failed; logs are in $LOGS" >&2
fi
exit "$status"
