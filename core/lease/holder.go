package lease

import "time"

// ClockReading is one reading of the holder's clocks. Both clocks are needed: the monotonic clock
// may stop while a VM is suspended, and the wall clock may be set back.
type ClockReading struct {
	Monotonic time.Duration // since a fixed moment in this process
	Wall      time.Time
}

// since returns the time elapsed since the earlier reading. It takes the larger value of the two
// clocks, so that a stopped or stepped clock can only end a lease early.
func (r ClockReading) since(earlier ClockReading) time.Duration {
	return max(r.Monotonic-earlier.Monotonic, r.Wall.Round(0).Sub(earlier.Wall.Round(0)))
}

// maxOutstandingRenewals is the number of renewals that may be outstanding. Older renewals are
// discarded and their grants ignored.
const maxOutstandingRenewals = 16

// Holder is the worker's side of its lease. The zero value holds no lease.
type Holder struct {
	sequence        uint64
	outstanding     []sentRenewal
	held            bool
	grantedSendTime ClockReading // when the granted renewal was sent
	duration        time.Duration
}

type sentRenewal struct {
	sequence uint64
	sentAt   ClockReading
}

// NewHolder returns a holder without a lease.
func NewHolder() *Holder { return &Holder{} }

// BeginRenewal records that a renewal is about to be sent and returns its sequence number. It must
// be called before any part of the renewal is sent.
func (h *Holder) BeginRenewal(now ClockReading) uint64 {
	h.sequence++
	h.outstanding = append(h.outstanding, sentRenewal{sequence: h.sequence, sentAt: now})
	if len(h.outstanding) > maxOutstandingRenewals {
		h.outstanding = h.outstanding[1:]
	}
	return h.sequence
}

// ApplyGrant extends the lease after a positive response to the renewal with the given sequence
// number. An unknown or repeated number is ignored, and so is a grant that would end before the
// current lease.
func (h *Holder) ApplyGrant(now ClockReading, sequence uint64, terms Terms) {
	for i, renewal := range h.outstanding {
		if renewal.sequence != sequence {
			continue
		}
		h.outstanding = append(h.outstanding[:i:i], h.outstanding[i+1:]...)
		remaining := terms.HolderDuration() - now.since(renewal.sentAt)
		if !h.held || remaining > h.Remaining(now) {
			h.held = true
			h.grantedSendTime = renewal.sentAt
			h.duration = terms.HolderDuration()
		}
		return
	}
}

// End ends the lease immediately, for example because the epoch has ended.
func (h *Holder) End() {
	h.held = false
	h.outstanding = nil
}

// Valid reports whether tasks may run and be started now. It must be called before every start and
// after every pause of the process.
func (h *Holder) Valid(now ClockReading) bool { return h.Remaining(now) > 0 }

// Remaining returns how long tasks may still run. It is 0 or less if there is no lease.
func (h *Holder) Remaining(now ClockReading) time.Duration {
	if !h.held {
		return 0
	}
	return h.duration - now.since(h.grantedSendTime)
}
