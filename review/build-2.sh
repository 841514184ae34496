#!/bin/sh
# Builds the stand-ins and clients of the second review's cases into bin/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for n in 7 8 9 10; do
	[ ! -f "review/$n/main.go" ] || go build -o "bin/review-2/$n" "./review/$n"
done
go build -o bin/review-2/rig-3 ./review/rig-3
