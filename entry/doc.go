// Package entry is the parent of the packages that make up an entry instance: the APIs for
// callers and operators, the duties for which one instance at a time is elected, and the
// controllers. docs/architecture.md describes them.
package entry
