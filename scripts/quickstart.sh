#!/usr/bin/env bash
# Builds cornelwind. Then, for each example sheet, starts a small fleet, sends requests, prints an explanation and stops it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT
standin=build/tests/standin
binary=build/cornelwind
# Each run uses a random loopback address, so that concurrent runs do not compete for ports.
host="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))"

wait_for() {
    for _ in $(seq 200); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        read -r -t 0.05 <> <(:) || true
    done
    echo "quickstart: timed out waiting for: $*" >&2
    exit 1
}

# start_fleet SHEET ZONE: starts stand-ins on loopback for the platform and each server of the sheet, then 3 entry instances.
start_fleet() {
    local sheet=$1 zone=$2 port=9100 name slots
    pids=()
    "$binary" check --sheet "$sheet"
    "$standin" platform --listen "$host:7000" & pids+=($!)
    awk -v host="$host" '/^address = "10\./ { printf "address = \"%s:%d\"\n", host, 9100 + n++; next } { print }' "$sheet" >"$work/sheet.toml"
    while read -r name slots; do
        "$standin" server --listen "$host:$port" --name "$name" --slots "$slots" --service-ms 5 & pids+=($!)
        port=$((port + 1))
    done < <(awk '/^\[\[service.server/ { s = 1 } s && /^name/ { gsub(/"/, "", $3); name = $3 } s && /^slots/ { print name, $3; s = 0 }' "$sheet")
    wait_for curl -sf "http://$host:7000/calls"
    curl -sf -X PUT --data-binary @"$work/sheet.toml" "http://$host:7000/sheet"
    local list=""
    for i in 1 2 3; do
        list="$list${list:+,}{\"name\":\"$zone-$i\",\"zone\":\"$zone\",\"address\":\"$host:810$i\",\"state\":\"live\"}"
        sed -e "s/leon-1/$zone-$i/; s/\"leon\"/\"$zone\"/; s/127.0.0.1:8080/$host:800$i/; s/127.0.0.1:8081/$host:810$i/; s/127.0.0.1:8082/$host:820$i/; s/127.0.0.1:7000/$host:7000/" \
            examples/entry-instance.toml >"$work/$i.toml"
        "$binary" check --settings "$work/$i.toml" >/dev/null
    done
    curl -sf -X PUT --data "{\"instances\":[$list],\"servers\":[]}" "http://$host:7000/instances"
    instances=()
    for i in 1 2 3; do
        "$binary" serve --settings "$work/$i.toml" 2>"$work/$i.log" & instances+=($!); pids+=($!)
    done
    for i in 1 2 3; do wait_for curl -sf "http://$host:820$i/ready"; done
}

stop_fleet() {
    for i in 1 2 3; do "$binary" drain --settings "$work/$i.toml" >/dev/null; done
    for pid in "${instances[@]}"; do wait "$pid"; done
    echo "all entry instances stopped gracefully"
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

# serve_both LOOKUP_PATH ORDER_PATH SERVICE: sends a look-up, sends the same order through two instances, checks that it ran
# once, and prints an explanation of the service.
serve_both() {
    echo "-- look-up"
    curl -sf "http://$host:8001$1/lace-12"
    echo "-- order, through two entry instances"
    local key first second
    key=$(curl -s -o /dev/null -D - -X POST --data "order 7" "http://$host:8001$2" | tr -d '\r' | sed -n 's/^Cornelwind-Next-Key: //p')
    first=$(curl -sf -X POST -H "Idempotency-Key: $key" --data "order 7" "http://$host:8001$2")
    second=$(curl -sf -X POST -H "Idempotency-Key: $key" --data "order 7" "http://$host:8002$2")
    echo "$first"
    [ "$first" = "$second" ] || { echo "quickstart: the responses differ" >&2; exit 1; }
    local runs=0 port
    for port in $(seq 9100 9140); do
        runs=$((runs + $(curl -s "http://$host:$port/standin/record" | grep -c "^run POST $2 order 7" || true)))
    done
    echo "the order was sent twice and ran $runs time"
    [ "$runs" -eq 1 ] || exit 1
    echo "-- explanation"
    "$binary" explain --settings "$work/1.toml" "$3" | head -12
}

echo "== Bajio"
start_fleet examples/bajio.toml leon
serve_both /catalogue /orders orders
stop_fleet
echo "== Southern Alps"
start_fleet examples/alps.toml fox-hut
serve_both /inspections /retirements retirements
stop_fleet
echo "quickstart: ok"
