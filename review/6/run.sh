#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder. With TROUBLE=0 there is no disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cases="$root/target/review-2/cases"
TROUBLE="${TROUBLE:-1}"
export TROUBLE
if [ ! -x "$cases" ] || [ ! -x "$root/target/release/poplargapd" ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh"
    exit 2
fi
exec "$cases" order "$root" "$folder/record.txt"
