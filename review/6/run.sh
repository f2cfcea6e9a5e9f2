#!/usr/bin/env bash
# Case 6 of the second review: see claim.txt. TROUBLE=0 runs it without its trouble.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 advice-starved review/6/record.txt
