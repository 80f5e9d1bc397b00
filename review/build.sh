#!/bin/bash
# Builds the stand-ins of the review's cases. The controllers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/_standin"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
