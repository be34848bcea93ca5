// Package policybench compares the scheduler with first-fit and best-fit in submission order by
// waiting times, packing, lost work and team shares. All policies run the same synthetic days on a
// virtual clock.
package policybench
