package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

const (
	// wholeAnswerBytes is the largest answer with a Content-Length that is read
	// completely before any of it is sent to the caller. If such an answer is
	// truncated, the request can still be refused or retried.
	wholeAnswerBytes = 64 << 10
	// streamBytes is the buffer size for copying other answers.
	streamBytes = 32 << 10
)

// errCallerGone is returned when a write to the caller fails.
var errCallerGone = errors.New("gateway: caller has gone")

// pass sends a checked answer to the caller. passed reports whether any of it was
// sent. The error is not nil if the answer is truncated or the caller of an
// idempotent request has disconnected.
func (c *call) pass(resp *http.Response) (passed bool, err error) {
	header := endToEnd(resp.Header)
	if resp.ContentLength >= 0 && resp.ContentLength <= wholeAnswerBytes {
		body, err := readWhole(resp)
		if err != nil {
			return false, err
		}
		c.keep(resp.StatusCode, header, body)
		c.writeHead(resp.StatusCode, header)
		// A failed write means that the caller has disconnected. The answer to a
		// keyed request is stored nevertheless.
		_, _ = c.w.Write(body)
		return true, nil
	}
	return true, c.stream(resp, header)
}

func readWhole(resp *http.Response) ([]byte, error) {
	if resp.ContentLength == 0 || resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	// Reading up to the end returns the connection to the pool.
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, errBroken
	}
	return body, nil
}

// stream copies an answer in chunks. Each write blocks until the caller reads, so
// that a slow caller slows down the backend server.
func (c *call) stream(resp *http.Response, header http.Header) error {
	c.writeHead(resp.StatusCode, header)
	recorder := answerRecorder{limit: int(c.service.ReplayMaxBytes)}
	control := http.NewResponseController(c.w)
	buffer := make([]byte, streamBytes)
	callerGone := false
	for {
		n, err := resp.Body.Read(buffer)
		recorder.add(buffer[:n])
		if n > 0 && !callerGone {
			callerGone = c.writePiece(control, buffer[:n]) != nil
		}
		if callerGone && c.idempotent {
			return errCallerGone
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if body, ok := recorder.body(); ok {
		c.keep(resp.StatusCode, header, body)
	}
	return nil
}

func (c *call) writePiece(control *http.ResponseController, piece []byte) error {
	if _, err := c.w.Write(piece); err != nil {
		return err
	}
	return control.Flush()
}

func (c *call) writeHead(status int, header http.Header) {
	own := c.w.Header()
	for name, values := range header {
		own[name] = values
	}
	own.Set(backendapi.HeaderOutcome, string(state.OutcomeDone))
	c.closeIfDraining()
	c.w.WriteHeader(status)
}

// keep holds the answer of a keyed request for its finish record.
func (c *call) keep(status int, header http.Header, body []byte) {
	if c.idempotent || c.key == "" || len(body) > int(c.service.ReplayMaxBytes) {
		return
	}
	c.stored = &state.StoredAnswer{Status: status, Header: storedHeader(header), Body: body}
}

// answerRecorder collects a streamed answer up to a limit.
type answerRecorder struct {
	limit    int
	data     []byte
	exceeded bool
}

func (r *answerRecorder) add(piece []byte) {
	if r.exceeded || len(r.data)+len(piece) > r.limit {
		r.exceeded, r.data = true, nil
		return
	}
	r.data = append(r.data, piece...)
}

func (r *answerRecorder) body() ([]byte, bool) { return r.data, !r.exceeded }
