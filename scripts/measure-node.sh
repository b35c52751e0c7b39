#!/bin/sh
# measure-node.sh RUNS [NAME=FOLDER...]: what a node's start, memory and requests cost, for built trees (this one if
# none is named), in turn; a table of medians, least and most on standard output. About 12 s a run and tree, on a
# machine that does nothing else. Where taskset is there, the nodes have one processor to themselves.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd -P)
runs=${1:?"usage: $0 RUNS [NAME=FOLDER...]"}
shift
[ $# -gt 0 ] || set -- "this=$root"

last=$(($(nproc) - 1))
node=
others=
if command -v taskset >/dev/null && [ "$last" -gt 0 ]; then
    node=$last
    others="taskset -c 0-$((last - 1))"
fi
# shellcheck disable=SC2086 # several words, or none
exec $others "${JAVA_HOME:+$JAVA_HOME/bin/}java" "$root/src/test/java/rowanplank/measure/MeasureNode.java" \
    "$runs" "$node" "$@"
