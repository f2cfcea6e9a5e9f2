// Package policy is the parent of the packages that decide on requests, executors, tasks
// and pools. They are pure: they do no I/O and read no clock. docs/architecture.md
// describes them.
package policy
