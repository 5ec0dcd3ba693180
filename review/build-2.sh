#!/bin/sh
# Builds the rig of the second review, with all its stand-ins, to target/review-rig2.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-rig2 ./review/rig2
