#!/bin/sh
# Exits with 1 if rule CONFIG was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
root=$(pwd)
folder=$(mktemp -d) || exit 2
trap 'pkill -KILL -f "settings $folder/" 2>/dev/null; rm -rf "$folder"' EXIT
[ -x target/release/celeryhaven-platform ] && [ -x target/review-2/case6 ] || exit 2
timeout -k 5 100 target/review-2/case6 "$root" "$folder" review/6/record.txt "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
