#!/bin/sh
# measure-load.sh [SECONDS [RATE...]]: how fast `lab load` can ask and still be on time, on two cores, against a stub on
# the others; beside wrk, where it is there, on the same stub in the same run; then 10,000 connections. Each run is
# SECONDS long (5), after 4 s of warm-up; rates grow until the tool is late. Needs a built tree, and a machine that does
# nothing else: how much else there was is said with each run. About a minute and a half.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd -P)
seconds=${1:-5}
[ $# -gt 0 ] && shift
[ $# -gt 0 ] || set -- 10000 20000 40000 60000 80000 100000
java=${JAVA_HOME:+$JAVA_HOME/bin/}java
out=$(mktemp -d)
stub=
trap '[ -z "$stub" ] || kill "$stub"; rm -rf "$out"' EXIT
trap 'exit 130' INT TERM

tool=
others=
if command -v taskset >/dev/null && [ "$(nproc)" -gt 3 ]; then
    tool="taskset -c 0,1"
    others="taskset -c 2-$(($(nproc) - 1))"
fi

# shellcheck disable=SC2086 # several words, or none
$others "$java" "$root/src/test/java/rowanplank/measure/StubServer.java" 4 >"$out/port" &
stub=$!
for _ in $(seq 100); do
    [ -s "$out/port" ] && break
    sleep 0.1
done
port=$(cat "$out/port")

busy() { # all processor time that was used since the machine began, and what other machines on its host took
    awk '/^cpu / { print $2 + $3 + $4 + $7 + $8 + $9, $9; exit }' /proc/stat
}

run() { # NAME COMMAND...: its figures in $out/NAME.json, and how much the machine did meanwhile
    name=$1
    shift
    before=$(busy)
    "$@" >"$out/$name.out" 2>"$out/$name.err" || { cat "$out/$name.err"; return 1; }
    after=$(busy)
    echo "$before $after" | awk -v n="$name" '{ printf "%s: processor time of the whole machine %.1f s, taken by its host " \
        "%.1f s\n", n, ($3 - $1) / 100, ($4 - $2) / 100 }'
}

load() { # NAME RATE CONNECTIONS OPTIONS...
    name=$1 rate=$2 connections=$3
    shift 3
    # shellcheck disable=SC2086
    run "$name" $tool "$java" $OPTIONS -jar "$root/target/rowanplank.jar" lab load --quiet --threads 2 \
        --target "127.0.0.1:$port" --rate "$rate" --connections "$connections" --ahead "$connections" \
        --length "${seconds}s" --warm-up 4s --ready 30s --json "$out/$name.json" "$@"
    sed -n '2p;4,$p' "$out/$name.out"
}

OPTIONS=${OPTIONS:-"-XX:+UseSerialGC -Xmn256m"}
if command -v wrk >/dev/null; then
    # shellcheck disable=SC2086
    run wrk $tool wrk -t2 -c64 -d"${seconds}s" --latency "http://127.0.0.1:$port/"
    grep -E '50%|90%|99%|requests in|Requests/sec' "$out/wrk.out"
else
    echo "wrk is missing (apt-get install wrk): left out"
fi

for rate in "$@"; do
    load "$rate-a-second" "$rate" 64
    if grep -q '"late": true' "$out/$rate-a-second.json"; then
        echo "late at $rate a second: no higher rate is tried"
        break
    fi
done
load 10000-connections 10000 10000 --oldest-first
