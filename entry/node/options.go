// Package node composes one entry instance: the gateway, the configuration
// follower, the mesh, the controllers and the operator listener.
package node

import (
	"crypto/tls"
	"io"

	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// Options configure one entry instance.
type Options struct {
	Settings settings.Settings
	// LogOutput receives the structured log.
	LogOutput io.Writer
	// MeshTLS replaces the PEM files of the settings if it is set. The development
	// mode sets it to use certificates of its own.
	MeshTLS *tls.Config
}
