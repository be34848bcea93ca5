package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

const (
	// wholeAnswerBytes is the largest answer of stated length that is read
	// completely before the caller gets any of it, so that a truncated one can
	// still be refused or retried.
	wholeAnswerBytes = 64 << 10
	// streamBytes is how much of a longer answer is read at once.
	streamBytes = 32 << 10
)

// errCallerGone is a failed write to the caller.
var errCallerGone = errors.New("gateway: caller has gone")

// pass passes a checked answer on to the caller. passed reports whether the
// caller has got any of it. The error is set where the answer is truncated.
func (c *call) pass(resp *http.Response) (passed bool, err error) {
	header := endToEnd(resp.Header)
	if resp.ContentLength >= 0 && resp.ContentLength <= wholeAnswerBytes {
		body, err := readWhole(resp)
		if err != nil {
			return false, err
		}
		c.keep(resp.StatusCode, header, body)
		c.writeHead(resp.StatusCode, header)
		// The caller has gone where this fails; the answer is kept if keyed.
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
	// Reading the end returns the connection to its pool.
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, errBroken
	}
	return body, nil
}

// stream copies an answer piece by piece. Each write waits for the caller, so
// that a slow caller slows its backend server down.
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

// keep stores the answer for the finish record of a keyed request.
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
