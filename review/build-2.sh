#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library alone, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/review-2 ./review/_standin2
