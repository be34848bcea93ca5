package backendserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

// maxBodyBytes limits the request body that is echoed.
const maxBodyBytes = 16 << 20

// serveRequest runs one routed request.
func (s *Server) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(backendapi.HeaderRequestID)
	d := s.begin(req.Header.Get(backendapi.HeaderIdempotencyKey))
	w.Header().Set(backendapi.HeaderRequestID, id)
	if d.outcome == outcomeRefuse || d.outcome == outcomeDraining {
		writeRefusal(w, d)
		return
	}
	defer s.end()
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return // the entry process has disconnected
	}
	// The delay does not end when the entry process disconnects, because real work would continue.
	time.Sleep(d.delay)
	w.Header().Set(backendapi.HeaderInFlight, strconv.Itoa(max(0, s.inFlight()-1)))
	s.respond(w, req, d, body)
}

func writeRefusal(w http.ResponseWriter, d decision) {
	reason := "backend-refused"
	if d.outcome == outcomeDraining {
		reason = "draining"
	}
	w.Header().Set(backendapi.HeaderOutcome, string(state.OutcomeNotRun))
	w.Header().Set(backendapi.HeaderReason, reason)
	w.Header().Set(backendapi.HeaderInFlight, strconv.Itoa(d.inFlight))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) respond(w http.ResponseWriter, req *http.Request, d decision, body []byte) {
	switch d.outcome {
	case outcomeReset:
		resetConnection(w)
	case outcomeFail:
		http.Error(w, "stand-in fails on request", http.StatusInternalServerError)
	case outcomeTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1000))
		// An error makes no difference: the connection is aborted next.
		_, _ = w.Write(body)
		panic(http.ErrAbortHandler)
	case outcomeForeignID:
		w.Header().Set(backendapi.HeaderRequestID, "another-request")
		fallthrough
	default:
		s.echo(w, req, d, body)
	}
}

// echo responds with the received request, so that a test can check that a caller got the response
// to its own request.
func (s *Server) echo(w http.ResponseWriter, req *http.Request, d decision, body []byte) {
	head := fmt.Sprintf("%s %s %s run %d\n", s.settings.Name, req.Method, req.URL.RequestURI(), d.run)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(head)+len(body)))
	// A write error means that the entry process has disconnected.
	_, _ = io.WriteString(w, head)
	_, _ = w.Write(body)
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serveRuns serves GET /debug/runs.
func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(s.Counts())
}
