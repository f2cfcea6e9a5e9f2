// Package mesh is described in docs/architecture.md.
package mesh
