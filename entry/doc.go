// Package entry is described in docs/architecture.md.
package entry
