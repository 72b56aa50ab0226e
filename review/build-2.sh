#!/usr/bin/env bash
# Builds the program that the scripts of the second review start: the stand-ins of the store, of workers, of clients and of other
# servers, which start the routers that the build line of deploy/system.toml has built.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/lab2/bin/lab2 ./review/lab2
