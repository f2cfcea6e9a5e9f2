// Package node composes one entry instance: the gateway, the configuration
// follower, the mesh, the controllers and the operator listener.
package node

import (
	"crypto/tls"
	"io"

	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// Options are what one entry instance is made from.
type Options struct {
	Settings settings.Settings
	// LogOutput takes the structured log.
	LogOutput io.Writer
	// MeshTLS replaces the PEM files of the settings where it is set, as the
	// development mode does with certificates of its own.
	MeshTLS *tls.Config
}
