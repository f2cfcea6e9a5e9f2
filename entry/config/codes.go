package config

import "github.com/tarragonreach/tarragonreach/api/verdict"

// Reason codes of changes that were not accepted, or not with certainty.
const (
	CodeStoreUnavailable verdict.Code = "config-store-unavailable"
	CodeOutcomeUnknown   verdict.Code = "config-outcome-unknown"
)
