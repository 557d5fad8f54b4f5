#!/usr/bin/env bash
# Runs a case five times, and once without the disruption: five.sh N
cd "$(dirname "$0")" || exit 2
failed=0
for run in 1 2 3 4 5; do
  "./$1/run.sh"
  status=$?
  echo "run $run: exit $status"
  [ "$status" = 1 ] && failed=$((failed + 1))
done
cp "$1/record.txt" "$1/record.broken.tmp"
TROUBLE=0 "./$1/run.sh"
echo "without the disruption: exit $?"
mv "$1/record.broken.tmp" "$1/record.txt"
echo "broken in $failed of 5 runs"
