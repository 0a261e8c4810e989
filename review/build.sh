#!/bin/sh
# Builds the stand-ins of the review's scripts, without a network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
