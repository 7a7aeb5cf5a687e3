#!/usr/bin/env bash
# Plays the regression runs on the users' bench and sums them up.
#
#   deploy/regression.sh BENCH SITES
#
# BENCH is the bench's program, SITES the folder that holds the folders of the deployments. Each site in force is hunted and
# gets a quick score. The output of each run is kept in target/regression/; the exit status is 1 if a gate failed or a rule
# was broken, 2 on wrong arguments.
set -uo pipefail

if [ $# -ne 2 ] || [ ! -x "$1" ] || [ ! -d "$2" ]; then
    echo "usage: deploy/regression.sh BENCH SITES" >&2
    exit 2
fi
bench=$1
sites=$2
cd "$(dirname "$0")/.."
kept=target/regression
mkdir -p "$kept"
failed=0

# play NAME PASS ARGUMENTS...: runs the bench; the run passes if its output has the pattern PASS.
play() {
    local name=$1 pass=$2
    shift 2
    "$bench" "$@" --why "regression: $name" > "$kept/$name.txt" 2>&1
    if grep -Eq "$pass" "$kept/$name.txt"; then
        echo "passed  $name"
    else
        echo "FAILED  $name: see $kept/$name.txt"
        failed=1
    fi
    grep -E "^score on" "$kept/$name.txt"
}

unbroken=", 0 with a rule broken"
gate="^GATE passed"
large=$sites/large/quabbin-match-large.toml

for site in sites/quabbin-match sites/stropfleet; do
    play "hunt-$(basename "$site")" "$unbroken" hunt "$sites/$site.toml" --days 40
done
for site in grown/quabbin-match-grown grown/stropfleet-grown; do
    play "hunt-$(basename "$site")" "$unbroken" hunt "$sites/$site.toml" --days 8
done
play hunt-large "$unbroken" hunt "$large" --days 8
for site in sites/quabbin-match sites/stropfleet grown/quabbin-match-grown grown/stropfleet-grown; do
    play "quick-$(basename "$site")" "$gate" score "$sites/$site.toml" --quick
done
play quick-large "$gate" score "$large" --quick
exit $failed
