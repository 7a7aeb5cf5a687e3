#!/usr/bin/env bash
# One part of a prompt crashes each replica after the first event of its answer.
set -uo pipefail
. "$(dirname "$0")/../case.sh"
run_case 3 crash first-event
