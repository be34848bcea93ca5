// Package proxybench compares the gateway with direct calls of a backend server and with
// net/http/httputil.ReverseProxy. All of them run in one process on loopback, in the same run.
package proxybench
