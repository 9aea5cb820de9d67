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
export CASE_TMP RUN_COMMAND ROOT=$root CASE_RECORD=$root/review/$number/record.txt
unset ROUTER_CONFIG ROUTER_NAME ROUTER_LISTEN ROUTER_DISCOVERY
child=

# Ends the program, and the limiters that it has named in the record if it could not end them itself. A process is
# ended only if its environment shows that this run started it.
clean_up() {
    [ -n "$child" ] && kill -TERM "$child" 2>/dev/null && wait "$child" 2>/dev/null
    for pid in $(sed -n 's/.*started as process \([0-9]*\)$/\1/p' "$CASE_RECORD" 2>/dev/null); do
        if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -qxF "CASE_TMP=$CASE_TMP"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done 2>/dev/null
    rm -rf "$CASE_TMP"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP

timeout -k 3 110 "$program" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
