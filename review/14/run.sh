#!/bin/sh
# Case 14. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 does the same without the disruption. The record is written to record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$folder/../.." && pwd)
program="$repository/target/review-3/release/reports"
if [ ! -x "$program" ] || [ ! -x "$repository/target/release/poplargapd" ]; then
    echo "run the build of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
exec "$program" "$repository" "$folder"
