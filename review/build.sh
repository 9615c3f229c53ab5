#!/bin/sh
# Builds the program that runs the cases, with the stand-ins that it starts.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/drive
