#!/bin/sh
# Builds the program as the deploy file says, and the stand-ins and checks of the cases.
set -eu
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"
mkdir -p review/bin
for case in 1 2 3; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "review/bin/case$case" "./review/$case"
	fi
done
