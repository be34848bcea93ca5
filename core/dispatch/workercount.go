package dispatch

// WorkerCount returns the number of workers that the dispatcher calls.
func (c *Core) WorkerCount() int { return len(c.workers) }
