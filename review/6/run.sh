#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-2/release/stand ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/release/stand refused "$folder/record.txt"
