package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/node"
	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// TestSignalIsNotTakenForAFailure signals this process while an entry instance runs in it.
// A signal that also counted as a failed part would count twice and stop the process at
// once, with requests in progress.
func TestSignalIsNotTakenForAFailure(t *testing.T) {
	s := newSite(t)
	loaded, err := settings.Load(s.writeSettings("pa-0", ""), os.Getenv)
	assert.NilError(t, err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	n, err := node.New(node.Options{Settings: loaded, LogOutput: io.Discard})
	assert.NilError(t, err)
	assert.NilError(t, n.Start(t.Context()))
	failed := n.Failed()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-signals
	assert.NilError(t, n.Stop(t.Context())) // Until then, the parts may handle the signal.
	select {
	case <-failed:
		t.Error("the signal counts as a failed part")
	default:
	}
}
