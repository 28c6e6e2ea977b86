#!/usr/bin/env bash
# Plays the case new-process; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec target/review-3/standin-3 new-process target/release/gentianlaned review/11/record.txt
