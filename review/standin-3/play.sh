#!/bin/bash
# Plays a case: play.sh CASE FOLDER. Ends all processes that it started on every way out.
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/hemlock-platform ] || { echo "target/release/hemlock-platform isn't built"; exit 2; }
player=$here/target/release/review-standin-3
[ -x "$player" ] || { echo "the stand-in isn't built: review/build-3.sh"; exit 2; }
scratch=$(mktemp -d) || exit 2
player_id=
# The ids of the processes that the player starts.
: > "$scratch/processes"

# Whether a process is one of those that this script started.
is_ours() {
  [ "$(readlink "/proc/$1/exe" 2>/dev/null)" = "$PWD/target/release/hemlock-platform" ]
}

finish() {
  # The time limit passes the signal on to the player.
  [ -n "$player_id" ] && kill -TERM "$player_id" 2>/dev/null && wait "$player_id" 2>/dev/null
  while read -r id; do
    is_ours "$id" && kill -KILL "$id" 2>/dev/null
  done < "$scratch/processes"
  if [ -n "$KEEP_LOGS" ]; then echo "logs: $scratch"; else rm -rf "$scratch"; fi
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

REVIEW_ROOT=$PWD REVIEW_SCRATCH=$scratch timeout -k 2 115 "$player" "$case_name" "$folder" &
player_id=$!
wait "$player_id"
status=$?
player_id=
left=0
while read -r id; do
  is_ours "$id" && left=$((left + 1))
done < "$scratch/processes"
[ "$left" -eq 0 ] || echo "$left processes were left and are ended now"
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || tail -n 3 "$folder/record.txt"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
