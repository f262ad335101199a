#!/usr/bin/env bash
# Builds the one program that the scripts of review/4 to review/8 start beside the gateway: stand-ins of the store, the workers, the consumers
# and the machines' links, and the cases. It needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/review2 ./review/_standin2
