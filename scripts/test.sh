#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt (first
# column) are known to fail for a fault that is still open: they are left out
# and printed, so that the verdict covers all others.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=""
if [ -s KNOWN-RED.txt ]; then
  skip=$(grep -vE '^(#|[[:space:]]*$)' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | sed 's/.*/^&$/' | paste -sd'|' -)
fi
if [ -n "$skip" ]; then
  echo "known red, not run:"
  grep -vE '^(#|[[:space:]]*$)' KNOWN-RED.txt
  exec go test -race -skip "$skip" "$@" ./...
fi
exec go test -race "$@" ./...
