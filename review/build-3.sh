#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The daemon is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/review-3 ./review/third/platform
