// Package lease implements the timing of the leases under which workers run tasks. Holder is the
// worker's side and Granter the leader's side (docs/design.md, section 2.3).
//
// The clocks of two machines are never compared. The holder measures from the moment it sent a
// renewal, and ends the lease early by the drift bound and a margin. The granter measures from the
// moment it responded, and ends the lease late by the drift bound. Because the renewal is sent
// before the response, the holder has always stopped before the granter considers the lease
// expired, as long as the rate of both clocks is within the drift bound.
package lease
