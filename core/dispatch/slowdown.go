package dispatch

import "time"

const (
	// slowdownShare is the share of the highest rate of a run, or of the lower rate of its worker, from
	// which on the worker has become slow. The progress of a long task is as even as that of a short
	// one, so a drop is due to the worker.
	slowdownShare = 0.5
	// slowdownWindow is the time over which a rate is measured, if progress does not show it earlier.
	slowdownWindow = 300 * time.Millisecond
	// slowdownMemory is how long a worker counts as slow after a drop was last seen.
	slowdownMemory = 2 * time.Second
)

// slowdown is what the reports of a run say about changes of its rate.
type slowdown struct {
	window   progress // start of the present window
	peakRate float64  // highest rate of a window, in percent per millisecond
	seen     bool     // the worker was slow while the run was active
}

// observeSlowdown follows the rate of a run of a single task. The rate of a gang's member depends on the
// workers of the other members.
func (c *Core) observeSlowdown(w *worker, r *run, now progress) {
	d := &r.slowdown
	if d.window.clock == 0 || r.firstAdvance.clock == 0 {
		d.window = now
		return
	}
	done, elapsed := now.percent-d.window.percent, now.clock-d.window.clock
	if elapsed <= 0 || done < minMeasuredPercent && elapsed < slowdownWindow.Milliseconds() {
		return
	}
	d.window = now
	rate := float64(done) / float64(elapsed)
	switch {
	case done >= minMeasuredPercent && rate > d.peakRate*slowdownShare:
		d.peakRate = max(d.peakRate, rate)
		if w.slowedBy == r {
			w.slowedBy, w.slowUntil = nil, time.Time{}
		}
	case rate < d.peakRate*slowdownShare:
		w.slowedBy, w.slowUntil = r, c.now.Add(slowdownMemory)
	}
	d.seen = d.seen || c.hasSlowedDown(w)
}

// hasSlowedDown reports whether a worker has become slow by the progress of its runs.
func (c *Core) hasSlowedDown(w *worker) bool { return c.now.Before(w.slowUntil) }
