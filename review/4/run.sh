#!/usr/bin/env bash
# The tenth part of a prompt crashes each replica that begins to answer.
set -uo pipefail
. "$(dirname "$0")/../case.sh"
run_case 4 crash tenth-part
