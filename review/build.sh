#!/bin/sh
# Builds the stand-ins of all cases into target/.
set -e
cd "$(dirname "$0")/kit"
GOWORK=off go build -o ../../target/review-kit .
