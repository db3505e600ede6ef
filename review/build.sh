#!/bin/sh
# Builds the stand-ins of the cases, from the root and after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o bin/review-standin ./review/_standin
