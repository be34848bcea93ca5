// Package report runs all benchmarks and writes their figures as one HTML page with charts and
// tables, and as one CSV file for each benchmark.
package report
