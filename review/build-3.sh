#!/usr/bin/env bash
# Builds the program that plays the scripts of the third review, with all its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/kit-3"
GOWORK="$PWD/go.work" GOFLAGS=-mod=readonly go build -o ../../target/review-3 .
