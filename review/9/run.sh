#!/usr/bin/env bash
# Case 9 of the second review: see claim.txt. TROUBLE=0 runs it without its trouble.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 service-name review/9/record.txt
