package config

import "github.com/tarragonreach/tarragonreach/api/verdict"

// Reason codes of changes that were not accepted or whose outcome is unknown.
const (
	CodeStoreUnavailable verdict.Code = "config-store-unavailable"
	CodeOutcomeUnknown   verdict.Code = "config-outcome-unknown"
)
