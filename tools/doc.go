// Package tools pins the linter and the other programs that CI runs.
package tools
