package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

const (
	// maxBufferedAnswerBytes is the largest answer with a Content-Length that is read
	// completely before any of it is sent to the caller. If such an answer is
	// truncated, the request can still be refused or retried.
	maxBufferedAnswerBytes = 64 << 10
	// streamBufferBytes is the buffer size for copying other answers.
	streamBufferBytes = 32 << 10
)

// errCallerGone is returned when a write to the caller fails.
var errCallerGone = errors.New("gateway: caller has gone")

// forwardAnswer sends a checked answer to the caller. started reports whether any of
// it was sent. The error is not nil if the answer is truncated or the caller of an
// idempotent request has disconnected.
func (c *call) forwardAnswer(resp *http.Response) (started bool, err error) {
	header := endToEndHeaders(resp.Header)
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedAnswerBytes {
		body, err := readWholeBody(resp)
		if err != nil {
			return false, err
		}
		c.keepForRecord(resp.StatusCode, header, body)
		c.writeHeader(resp.StatusCode, header)
		// A failed write means that the caller has disconnected. The answer to a
		// keyed request is stored nevertheless.
		_, _ = c.w.Write(body)
		return true, nil
	}
	return true, c.stream(resp, header)
}

func readWholeBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength == 0 || resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	// Reading up to the end returns the connection to the pool.
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, errBrokenAnswer
	}
	return body, nil
}

// stream copies an answer in chunks. Each write blocks until the caller reads, so
// that a slow caller slows down the backend server.
func (c *call) stream(resp *http.Response, header http.Header) error {
	c.writeHeader(resp.StatusCode, header)
	recorder := answerRecorder{limit: int(c.service.ReplayMaxBytes)}
	control := http.NewResponseController(c.w)
	buffer := make([]byte, streamBufferBytes)
	callerGone := false
	for {
		n, err := resp.Body.Read(buffer)
		recorder.add(buffer[:n])
		if n > 0 && !callerGone {
			callerGone = c.writeAndFlush(control, buffer[:n]) != nil
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
		c.keepForRecord(resp.StatusCode, header, body)
	}
	return nil
}

func (c *call) writeAndFlush(control *http.ResponseController, chunk []byte) error {
	if _, err := c.w.Write(chunk); err != nil {
		return err
	}
	return control.Flush()
}

func (c *call) writeHeader(status int, header http.Header) {
	target := c.w.Header()
	for name, values := range header {
		target[name] = values
	}
	target.Set(backendapi.HeaderOutcome, string(state.OutcomeDone))
	c.closeIfDraining()
	c.w.WriteHeader(status)
}

// keepForRecord holds the answer of a keyed request for its finish record.
func (c *call) keepForRecord(status int, header http.Header, body []byte) {
	if c.idempotent || c.key == "" || len(body) > int(c.service.ReplayMaxBytes) {
		return
	}
	c.answerToRecord = &state.StoredAnswer{Status: status, Header: toHeaderFields(header), Body: body}
}

// answerRecorder collects a streamed answer up to a limit.
type answerRecorder struct {
	limit    int
	data     []byte
	exceeded bool
}

func (r *answerRecorder) add(chunk []byte) {
	if r.exceeded || len(r.data)+len(chunk) > r.limit {
		r.exceeded, r.data = true, nil
		return
	}
	r.data = append(r.data, chunk...)
}

func (r *answerRecorder) body() ([]byte, bool) { return r.data, !r.exceeded }
