# Runs a case of the stand-ins; used by the cases' own scripts: . review/standins/run.sh CASE NUMBER
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
if [ ! -x target/review/standins ] || [ ! -x target/release/celeryhaven-platform ]; then
    echo "build the gateway as deploy/system.toml says, and run review/build.sh" >&2
    exit 2
fi
FOLDER=$(mktemp -d) || exit 2
export FOLDER
finish() {
    # Only gateways that this case started and that still run.
    if [ -f "$FOLDER/pids" ]; then
        while read -r pid; do
            if grep -qs "$FOLDER" "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
        done < "$FOLDER/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $FOLDER"; else rm -rf "$FOLDER"; fi
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 110 target/review/standins "$1" "review/$2/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
