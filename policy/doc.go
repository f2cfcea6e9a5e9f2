// Package policy is described in docs/architecture.md.
package policy
