#!/bin/sh
# Runs the script of a case five times with the disruption and once without, and prints the exits.
# Usage: review/run-five.sh N
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 "review/$1/run.sh"
echo "case $1 without the disruption: exit $?"
for try in 1 2 3 4 5; do
    "review/$1/run.sh"
    echo "case $1, run $try: exit $?"
done
