#!/bin/sh
# Plays the case against target/release/elderpond, see claim.txt, and writes record.txt in this folder: what was sent,
# answered and run. TROUBLE=0 leaves out the disruption. Ends with 1 if the rule was broken, 0 if it held, 2 if the
# case could not be played.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/elderpond ] || { echo "build first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2

# Ends what the stand-in has started and not ended, by its process id; nothing is left after an ordinary end.
clean() {
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        grep -qs "ELDERPOND_BOOT=$folder/" "/proc/$pid/environ" && kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
interrupted() {
    kill -9 "$standin" 2>/dev/null
    wait "$standin" 2>/dev/null
    clean
    exit 2
}
target/review/standin recover "$here/record.txt" "$folder" &
standin=$!
trap interrupted HUP INT TERM
wait "$standin"
status=$?
clean
[ "$status" -le 2 ] || status=2
exit "$status"
