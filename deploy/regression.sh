#!/usr/bin/env bash
# Plays the regression runs on the users' bench and sums them up.
#
#   deploy/regression.sh BENCH SITES
#
# BENCH is the bench's program, SITES the folder that holds the folders of the deployments. Each site of the milestone is
# scored and hunted, each earlier one gets a quick score. The output of each run is kept in target/regression/; the
# exit status is 1 if a gate failed or a rule was broken, 2 on wrong arguments.
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
further=$sites/further/caroni-habitsync.toml
further_grown=$sites/further-grown/caroni-habitsync-grown.toml

play hunt-further "$unbroken" hunt "$further" --days 40
play hunt-further-grown "$unbroken" hunt "$further_grown" --days 8
play hunt-large "$unbroken" hunt "$large" --days 8
play score-further "$gate" score "$further"
play score-further-grown "$gate" score "$further_grown"
play score-large "$gate" score "$large"
for earlier in sites/quabbin-match sites/stropfleet grown/quabbin-match-grown grown/stropfleet-grown; do
    play "quick-$(basename "$earlier")" "$gate" score "$sites/$earlier.toml" --quick
done
exit $failed
