#!/usr/bin/env bash
# Builds the stand-ins of the second review under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
