package node

import (
	"context"

	"go.uber.org/fx"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// wire subscribes parts to each other's changes and registers the mesh calls.
func (n *Node) wire() {
	p := n.parts
	p.Follower.Subscribe(func(c *object.Config) {
		p.Directory.SetConfig(c)
		p.Peers.notifyChanged()
	})
	n.mesh.Handle(explainMethod, (&explainer{p}).serve)
	n.mesh.Handle(busyMethod, p.serveBusy)
	n.mesh.Handle(heldMethod, p.serveHeld)
	n.mesh.Handle(maintenanceMethod, n.serveMaintenance)
	p.Deduplicator.Register(n.mesh)
}

// addStages registers the stages in the order of their start. They stop in reverse
// order, so that what requests need runs until the callers' requests have completed.
func (n *Node) addStages(lc fx.Lifecycle) {
	p := n.parts
	lc.Append(fx.StopHook(p.Metrics.Close))
	lc.Append(fx.StopHook(p.Client.Close))
	lc.Append(fx.StartStopHook(n.startLoops, n.loops.stop))
	lc.Append(fx.StartStopHook(
		func() { n.operator.Start(n.serverFailed) },
		n.operator.Shutdown,
	))
	lc.Append(fx.StopHook(p.Transport.Close))
	lc.Append(fx.StopHook(p.Deduplicator.Close))
	lc.Append(fx.StartStopHook(
		func() { n.caller.Start(n.serverFailed) },
		n.stopCaller,
	))
	lc.Append(fx.StartHook(func() {
		p.Log.Info("serving", "callers", n.CallerAddr(), "operators", n.OperatorAddr(), "mesh", n.MeshAddr())
	}))
}

func (n *Node) startLoops() {
	p := n.parts
	n.loops.start("mesh", n.mesh.Run)
	n.loops.start("configuration", p.Follower.Run)
	n.loops.start("directory", p.Directory.Run)
	n.loops.start("gateway", p.Gateway.Run)
	n.loops.start("fleet record", n.followRecords)
	n.loops.start("fleet records to routing", n.forwardRecords)
	if p.Options.Settings.Fleet.Controllers {
		n.loops.start("controllers", n.controllers.run)
	}
	n.loops.start("observation", n.observe)
}

func (n *Node) serverFailed(err error) {
	n.parts.Log.Error("a listener failed", "error", err)
	n.loops.onFailure()
}

// stopCaller drains the gateway and then closes the caller listener.
func (n *Node) stopCaller(ctx context.Context) error {
	err := n.parts.Gateway.Shutdown(ctx)
	if closeErr := n.caller.Shutdown(ctx); err == nil {
		err = closeErr
	}
	return err
}

// forwardRecords sends the fleet's records to the directory and notifies the mesh
// whenever they change.
func (n *Node) forwardRecords(ctx context.Context) error {
	p := n.parts
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.View.Changed():
			p.Directory.SetRecords(n.records())
			p.Peers.notifyChanged()
		}
	}
}

func (n *Node) records() []fleet.Record {
	var out []fleet.Record
	for _, located := range n.parts.View.Snapshot().Records("") {
		out = append(out, located.Record)
	}
	return out
}
