#!/usr/bin/env bash
# Builds what the scripts of the review start beside the gateway: one program with the stand-ins and the cases. The gateway itself
# is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/_rig
