#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. The record of the run goes to record.txt.
set -um
cd "$(dirname "$0")/../.."
if [ ! -x target/release/banyanwharfd ] || [ ! -x target/review/standin ]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh"
    exit 2
fi
target/review/standin drain review/5 &
standin=$!
# The daemons are in the process group of the stand-in.
trap 'kill -TERM -- -$standin; exit 2' TERM INT
wait $standin
