package backend

// IdleConnections returns the number of connections that wait for a request.
func (t *HTTPTransport) IdleConnections(target Target) int {
	p := t.poolOf(target)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
