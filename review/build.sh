#!/usr/bin/env bash
# Builds the program that holds the stand-ins and the cases of the review. The nodes are
# built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-stand ./review/stand
