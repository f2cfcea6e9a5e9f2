// Package tools pins the versions of the linter and the other programs that CI runs.
package tools
