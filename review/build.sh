#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The routers come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
