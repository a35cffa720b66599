#!/bin/sh
# Builds the stand-ins of the second review's scripts: the store, the workers and the
# clients, which run in one program. The node is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/bed ./review/bed
