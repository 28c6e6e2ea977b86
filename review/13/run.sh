#!/usr/bin/env bash
# Plays the case daily-jobs; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec target/review-3/standin-3 daily-jobs target/release/gentianlaned review/13/record.txt
