package gateway

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// hopByHopHeaders are valid for one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// gatewayHeaders are set only by the gateway. Values from callers and backend servers
// are dropped.
var gatewayHeaders = []string{
	backendapi.HeaderDeadline, backendapi.HeaderRequestID, backendapi.HeaderOutcome,
	backendapi.HeaderReason, backendapi.HeaderInFlight,
}

// endToEndHeaders returns a copy of the headers that are passed on.
func endToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	for name, values := range from {
		to[name] = values
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(to, name)
	}
	for _, name := range gatewayHeaders {
		delete(to, name)
	}
	return to
}

// forwardedHeaders returns the headers that the backend server receives for a
// caller's request.
func forwardedHeaders(req *http.Request) http.Header {
	header := endToEndHeaders(req.Header)
	delete(header, "Expect") // the body has been read
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		chain := append([]string{}, header["X-Forwarded-For"]...)
		header["X-Forwarded-For"] = []string{strings.Join(append(chain, host), ", ")}
	}
	return header
}

// toHeaderFields converts the headers of an answer to the stored form.
func toHeaderFields(header http.Header) []state.HeaderField {
	var fields []state.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, state.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}
