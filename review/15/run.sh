#!/usr/bin/env bash
# Plays the case lost-answer; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec target/review-3/standin-3 lost-answer target/release/gentianlaned review/15/record.txt
