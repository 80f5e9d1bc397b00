#!/bin/bash
# Builds the stand-ins of the cases 4 to 8.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/_rig2
