#!/bin/sh
# Builds the stand-ins of the third review's script cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/review-rig3 ./review/rig3
