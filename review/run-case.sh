#!/usr/bin/env bash
# Runs the program of one case, which build.sh has built: run-case.sh N. Used by the run.sh of each case.
set -u
number=$1
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review/case$number
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ ! -x "$root/target/release/limiter" ] || [ -z "$RUN_COMMAND" ]; then
    echo "not built: run the build command of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$CASE_TMP"' EXIT
export CASE_TMP RUN_COMMAND ROOT=$root CASE_RECORD=$root/review/$number/record.txt
unset ROUTER_CONFIG ROUTER_NAME ROUTER_LISTEN ROUTER_DISCOVERY
timeout -k 5 115 "$program"
code=$?
# The limiters are ended by the program. If it was ended itself, end the limiters that it has named in the record.
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then
    for pid in $(sed -n 's/.*started as process \([0-9]*\)$/\1/p' "$CASE_RECORD"); do
        if tr '\0' '\n' <"/proc/$pid/environ" 2>/dev/null | grep -qxF "CASE_TMP=$CASE_TMP"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done
    exit 2
fi
exit "$code"
