#!/usr/bin/env bash
# Replicas run orders and then fail some of them with 503, without Not-Executed.
set -uo pipefail
. "$(dirname "$0")/../case.sh"
run_case 2 desk
