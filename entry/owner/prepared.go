package owner

// logPrepared logs the prepared starts that were used while the store did not respond, and counts
// those that were prepared, used and superseded.
func (o *Owner) logPrepared() {
	notes, counts := o.shard.TakePreparedNotes()
	for _, start := range notes {
		o.Logger.Info("start", "task", start.Task.String(), "run", start.Run, "executor", string(start.Executor),
			"until", start.UntilMs, "free_cpu", start.Free.MilliCPU, "prepared", true)
	}
	for what, n := range map[string]int{"prepared": counts.Prepared, "used": counts.Used, "superseded": counts.Superseded} {
		if n > 0 {
			o.Scope.Tagged(map[string]string{"what": what}).Counter("prepared_starts").Inc(int64(n))
		}
	}
}
