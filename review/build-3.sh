#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the router, which the line build of deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/lab3
