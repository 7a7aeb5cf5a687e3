# Runs one case: `run_case CASE RECORD ARGUMENT...`. Each run.sh reads this file.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
run_case() {
    local code=0
    cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
    if [ ! -x target/review/harness ]; then
        echo "target/review/harness is missing; run review/build.sh first" >&2
        exit 2
    fi
    REVIEW_FOLDER=$(mktemp -d) || exit 2
    export REVIEW_FOLDER
    # The harness ends all processes that it starts, also when it is told to end.
    target/review/harness "$@" &
    local harness=$!
    trap 'touch "$REVIEW_FOLDER/end"; wait "$harness"; rm -rf "$REVIEW_FOLDER"; exit 2' INT TERM
    wait "$harness" || code=$?
    rm -rf "$REVIEW_FOLDER"
    case $code in
        0 | 1) exit "$code" ;;
        *) exit 2 ;;
    esac
}
