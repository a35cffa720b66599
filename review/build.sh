#!/bin/bash
# Builds the stand-ins of the cases. The node's program comes from the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review ./review/harness
