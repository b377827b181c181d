#!/usr/bin/env bash
# Builds the program that runs the cases and holds their stand-ins. It needs the standard library
# only. The daemon itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-case ./review/platform
