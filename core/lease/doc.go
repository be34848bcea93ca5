// Package lease times the leases under which workers run tasks. Holder is the
// worker's side, Granter the leader's side (docs/design.md, section 2.3).
//
// No clock is compared with another one. The holder counts from the moment it
// sent a renewal and ends early by the drift bound and a margin; the granter
// counts from the moment it answered and ends late by the drift bound. As
// sending comes before answering, the holder has always stopped before the
// granter declares the lease expired, as long as both clocks keep the stated
// rate.
package lease
