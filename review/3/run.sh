#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
result=0
: > review/3/record.txt
for part in waiting late; do
    [ -x "target/review/release/review-3-$part" ] || { echo "run review/build.sh first"; rm -rf "$folder"; exit 2; }
    echo "== $part" | tee -a review/3/record.txt
    "target/review/release/review-3-$part" "$folder"
    status=$?
    cat "$folder/record.txt" >> review/3/record.txt
    if [ $status -ne 0 ] && [ $result -ne 2 ]; then result=$status; fi
done
rm -rf "$folder"
exit $result
