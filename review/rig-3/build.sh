#!/bin/sh
# Builds the program that the cases of this folder start besides those of the deploy file.
cd "$(dirname "$0")/../.." && mkdir -p bin && go build -o bin/rig-3 ./review/rig-3
