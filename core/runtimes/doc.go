// Package runtimes learns from finished runs how long later runs take. It has no input or output and
// reads no clock.
//
// All values are ratios of the measured to the declared run time, on a worker of speed 1. A ratio
// carries over between runs of different declared length, a duration does not.
//
//   - Moments is a moving mean and spread of the logarithm of the ratio.
//   - Histogram counts ratios in buckets. Its values are integers, so replicas of different
//     processors agree on them, and it shows the tail, which a mean and a spread do not.
//   - Group holds what is learned about one group of runs, for example of a queue, and Siblings what
//     the ended runs of one step say about the remaining ones. Group.Ratio combines the two.
//   - Speed is the learned speed of one worker.
//   - Recent is a map of bounded size.
package runtimes
