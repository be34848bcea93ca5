// Package report runs the benchmarks and writes their figures as one page with
// pictures and tables, and as one CSV file for each benchmark.
package report
