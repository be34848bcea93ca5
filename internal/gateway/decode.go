package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/connmemory"
)

// maxKeyBytes is the size of the longest Idempotency-Key that is accepted.
const maxKeyBytes = 256

// requestFactor is what a request takes for each byte of its body until it is answered: the body, and a copy in
// the call to a backend server.
const requestFactor = 2

// routedMethods are the methods of requests that are routed.
var routedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// refusalError says why a request cannot be routed.
type refusalError struct {
	reason exchange.Reason
	status int // 0 for the status of the reason
	detail string
}

// Error implements error.
func (e *refusalError) Error() string { return string(e.reason) + ": " + e.detail }

func newRefusal(reason exchange.Reason, status int, detail string) *refusalError {
	return &refusalError{reason: reason, status: status, detail: detail}
}

// decodedRequest is a valid request that can be routed.
type decodedRequest struct {
	service  cellconfig.Service
	team     cell.Team
	key      string
	body     []byte
	deadline time.Time
}

// decodeRequest validates a request and reads its body.
func (g *Gateway) decodeRequest(w http.ResponseWriter, req *http.Request, s *serviceConfig, now time.Time) (decodedRequest, *refusalError) {
	if !slices.Contains(routedMethods, req.Method) {
		return decodedRequest{}, newRefusal(exchange.ReasonBadRequest, http.StatusMethodNotAllowed, "method is not routed")
	}
	if hasDotSegment(req.URL.Path) {
		return decodedRequest{}, newRefusal(exchange.ReasonBadRequest, 0, "path has a dot segment")
	}
	service, ok := s.match(req.URL.Path)
	if !ok {
		return decodedRequest{}, newRefusal(exchange.ReasonNoService, 0, "no service under this path")
	}
	d := decodedRequest{service: service}
	for _, step := range []func(*http.Request) *refusalError{d.decodeTeam, d.decodeKey} {
		if err := step(req); err != nil {
			return decodedRequest{}, err
		}
	}
	allowed, err := requestDeadline(req, service)
	if err != nil {
		return decodedRequest{}, err
	}
	d.deadline = now.Add(allowed)
	return d, d.readBody(w, req, allowed)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (d *decodedRequest) decodeTeam(req *http.Request) *refusalError {
	values := req.Header[backendapi.HeaderTeam]
	if len(values) == 0 && len(d.service.Teams) == 1 {
		d.team = d.service.Teams[0]
		return nil
	}
	if len(values) != 1 || !slices.Contains(d.service.Teams, cell.Team(values[0])) {
		return newRefusal(exchange.ReasonBadRequest, 0, "Godwit-Team does not name one team of the service")
	}
	d.team = cell.Team(values[0])
	return nil
}

func (d *decodedRequest) decodeKey(req *http.Request) *refusalError {
	if len(req.Header[backendapi.HeaderIdempotencyKey]) == 0 {
		return nil
	}
	key, ok := idempotencyKey(req)
	if !ok {
		return newRefusal(exchange.ReasonBadRequest, 0, fmt.Sprintf("Idempotency-Key is not one value of 1 to %d bytes", maxKeyBytes))
	}
	d.key = key
	return nil
}

// idempotencyKey returns the idempotency key of a request. A malformed key counts as none,
// because no request with such a key is ever accepted.
func idempotencyKey(req *http.Request) (key string, ok bool) {
	values := req.Header[backendapi.HeaderIdempotencyKey]
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return "", false
	}
	return values[0], true
}

func requestDeadline(req *http.Request, service cellconfig.Service) (time.Duration, *refusalError) {
	values := req.Header[backendapi.HeaderDeadline]
	if len(values) == 0 {
		return clampDeadline(service, 0), nil
	}
	millis, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 {
		return 0, newRefusal(exchange.ReasonBadRequest, 0, "Godwit-Deadline-Ms is not one whole number")
	}
	if millis <= 0 {
		return 0, newRefusal(exchange.ReasonDeadline, 0, "deadline has passed")
	}
	return clampDeadline(service, millis), nil
}

// readBody reads the whole body, because it is part of the digest and may be sent
// again. If the body is not complete by the deadline, the request is refused.
func (d *decodedRequest) readBody(w http.ResponseWriter, req *http.Request, allowed time.Duration) *refusalError {
	limit := int64(d.service.MaxRequestBytes)
	if req.ContentLength == 0 {
		return nil
	}
	if req.ContentLength > limit {
		return newRefusal(exchange.ReasonTooLarge, 0, "body exceeds max_request_bytes")
	}
	control := http.NewResponseController(w)
	// The error is ignored: only httptest.ResponseRecorder does not support a
	// deadline, and the size of the body is limited in any case.
	_ = control.SetReadDeadline(time.Now().Add(allowed))
	body, err := connmemory.ReadBody(w, req, limit, connmemory.PerByte(requestFactor))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, connmemory.ErrNoRoom):
		return newRefusal(exchange.ReasonOverloaded, 0, "no memory for the body")
	case errors.As(err, &tooLarge):
		return newRefusal(exchange.ReasonTooLarge, 0, "body exceeds max_request_bytes")
	case err != nil && isTimeout(err):
		return newRefusal(exchange.ReasonDeadline, http.StatusRequestTimeout, "body was not complete by the deadline")
	case err != nil:
		return newRefusal(exchange.ReasonBadRequest, 0, "body is malformed or truncated")
	}
	_ = control.SetReadDeadline(time.Time{})
	d.body = body
	return nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// requestDigest returns a hash of the method, path, query and body of a request. It shows
// whether two requests with the same key are the same.
func requestDigest(req *http.Request, body []byte) uint64 {
	hash := sha256.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(hash, "%s %q %d ", req.Method, req.URL.RequestURI(), len(body))
	_, _ = hash.Write(body)
	return binary.BigEndian.Uint64(hash.Sum(nil))
}
