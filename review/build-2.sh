#!/bin/sh
# Builds the stand-ins that the scripts of this review start, at the root of the repository.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-scene ./review/scene
