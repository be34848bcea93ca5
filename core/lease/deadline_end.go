package lease

import "time"

// EndOnBootClock returns the end of a deadline from OnBootClock as a reading of that clock.
func (d Deadline) EndOnBootClock() time.Duration { return d.bootTime + d.remaining }
