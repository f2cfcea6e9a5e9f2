// Package buildinfo holds the version of the program.
package buildinfo

// version is set at release with -ldflags "-X …/api/buildinfo.version=1.2.3".
var version = "0.1.0-dev"

// Version returns the version of the program.
func Version() string { return version }
