// Package proxybench compares the gateway with calling a backend server
// directly and with net/http/httputil.ReverseProxy, all in one process on
// loopback in one run.
package proxybench
