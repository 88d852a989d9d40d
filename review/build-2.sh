#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the daemons. The daemons come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/second ./review/_second
