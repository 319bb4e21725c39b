#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The deploy file builds the program itself.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
GOWORK=off go build -o ../../target/review-2 .
