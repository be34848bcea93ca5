// Package policybench compares what the scheduler achieves with first-fit in
// submission order and best-fit: waiting times, packing, work lost and shares.
// All policies see the same synthetic days, driven by a virtual clock.
package policybench
