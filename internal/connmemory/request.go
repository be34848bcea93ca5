package connmemory

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/godwitlink/godwitlink/core/jsonsize"
	"github.com/godwitlink/godwitlink/core/memorybudget"
)

// Cost returns the memory that the work on a request takes beside its body.
type Cost func(body []byte) int64

// PerByte returns the cost of a request that takes the same for each byte of its body.
func PerByte(factor int64) Cost {
	return func(body []byte) int64 { return factor * int64(len(body)) }
}

// JSON returns the cost of a request whose body is decoded into a structure with the given fields. factor is what it
// takes for each byte of text.
func JSON(factor int64, fields ...string) Cost {
	return func(body []byte) int64 {
		size := jsonsize.Decoded(body, fields...)
		return factor*size.Text + size.Values
	}
}

const (
	// ClientRequestFactor is what a request of a client takes for each byte of its body while it waits for the
	// log: the decoded job, the encoded command, and the message that carries it.
	ClientRequestFactor = 3
	// OperatorRequestFactor is the same for reports and configurations, of which the document is kept as it is.
	OperatorRequestFactor = 2
	// messageFactor is the same for a message of another process: what twirp reads and what it decodes.
	messageFactor = 2
	// smallMessageBytes divides the messages of other processes. Smaller ones need no memory beside that of
	// their connection, so that votes and heartbeats never wait for large messages.
	smallMessageBytes = 16 << 10
	// firstBodyBytes is the first buffer for a body whose length is not stated.
	firstBodyBytes = 4 << 10
	// retryAfterSeconds is the time after which a refused request may be sent again, to this process or to
	// another one. A client that waits for 3 s in total has time for that.
	retryAfterSeconds = "1"
)

// Handler wraps the handler of a listener of the given kind. It refuses what is above the limits and records
// what each request holds.
func (b *Budget) Handler(kind Peer, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.inHead.Store(false)
		switch {
		case headBytes(r) > c.maxHeadBytes():
			c.refused(reasonHeadTooLarge)
			refuse(w, r, http.StatusRequestHeaderFieldsTooLarge)
			return
		case kind == PeerClients && r.ContentLength > b.Limits().BodyBytes:
			c.refused(reasonBodyTooLarge)
			refuse(w, r, http.StatusRequestEntityTooLarge)
			return
		case kind == PeerProcesses && !c.admitMessage(r):
			refuse(w, r, http.StatusServiceUnavailable)
			return
		case r.ContentLength == 0 || r.Method != http.MethodPost || kind == PeerProcesses && r.ContentLength > 0 && r.ContentLength <= smallMessageBytes:
			c.tell(kindBegin)
		}
		received := &trackedBody{ReadCloser: r.Body, ended: r.ContentLength == 0}
		if kind == PeerProcesses && r.ContentLength != 0 {
			r.Body = &messageBody{ReadCloser: received, conn: c, paid: messageFactor * max(r.ContentLength, 0), stated: r.ContentLength >= 0}
		} else {
			r.Body = &Body{ReadCloser: received, conn: c, stated: r.ContentLength}
		}
		next.ServeHTTP(w, r)
		// The answer may still have to be written to a client that reads slowly.
		c.tell(kindAwait)
		if !received.ended {
			discardBody(w, received)
		}
	})
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// headBytes returns the size of a head on the wire.
func headBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("  \r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(n)
}

// refuse answers a request that has not run.
func refuse(w http.ResponseWriter, r *http.Request, status int) {
	closeAfterAnswer(w)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	if r.ContentLength != 0 {
		discardBody(w, r.Body)
	}
}

// closeAfterAnswer closes the connection after the answer, because the body of the request is not read.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// discardBody sends the answer and then reads what the client still sends of its body. A connection that is
// closed while the client writes is reset, and the client may not see the answer.
func discardBody(w http.ResponseWriter, body io.Reader) {
	controller := http.NewResponseController(w)
	// Errors mean that the client has disconnected.
	_ = controller.EnableFullDuplex()
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, body, maxDiscardedBytes)
}

// admitMessage asks for the memory of a large message of another process before it is read.
func (c *conn) admitMessage(r *http.Request) bool {
	return r.ContentLength <= smallMessageBytes || c.grow(memorybudget.UseMessages, messageFactor*r.ContentLength)
}

// messageBody is the body of a message of another process. It is read by generated code.
type messageBody struct {
	io.ReadCloser
	conn     *conn
	stated   bool // the length was stated, and the memory granted before
	received int64
	paid     int64
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if missing := messageFactor*b.received - b.paid; !b.stated && missing > 0 {
		missing = max(missing, messageFactor*smallMessageBytes)
		if !b.conn.grow(memorybudget.UseMessages, missing) {
			return 0, ErrNoRoom
		}
		b.paid += missing
	}
	if errors.Is(err, io.EOF) {
		b.conn.tell(kindBegin)
	}
	return n, err
}

// Body is the body of a request on a connection of a budget.
type Body struct {
	io.ReadCloser
	conn   *conn
	stated int64 // length stated by the client; -1 if there is none
}

// ReadBody returns the body of a request of at most limit bytes, and pays for the work on it. The error is ErrNoRoom
// if there is no memory, and *http.MaxBytesError if the body is too large, or the work on it takes more than
// the process has for requests. What is held is given back when the request has been answered.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, cost Cost) ([]byte, error) {
	b, ok := r.Body.(*Body)
	if !ok {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if r.Method != http.MethodPost {
		b.conn.tell(kindAwait) // Handler takes only a POST to have a body
	}
	if b.conn.kind == PeerClients {
		limit = min(limit, b.conn.budget.Limits().BodyBytes)
	}
	body, held, err := b.read(limit)
	if err != nil {
		b.conn.release(memorybudget.UseBodies, held)
		closeAfterAnswer(w)
		return nil, err
	}
	bytes := cost(body)
	if bytes > b.conn.budget.division.Limit(memorybudget.UseRequests) {
		b.conn.refused(reasonDecodedTooLarge)
		b.conn.release(memorybudget.UseBodies, held)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if !b.conn.grow(memorybudget.UseRequests, bytes) {
		b.conn.release(memorybudget.UseBodies, held)
		return nil, ErrNoRoom
	}
	b.conn.release(memorybudget.UseBodies, held)
	b.conn.tell(kindBegin)
	return body, nil
}

// read reads the body into a buffer. The memory is asked for before each allocation; held is what was granted.
func (b *Body) read(limit int64) (body []byte, held int64, err error) {
	if b.stated > limit {
		b.conn.refused(reasonBodyTooLarge)
		return nil, 0, &http.MaxBytesError{Limit: limit}
	}
	size := b.stated
	if size < 0 {
		size = min(firstBodyBytes, limit)
	}
	if size == 0 {
		return nil, 0, nil
	}
	if !b.conn.grow(memorybudget.UseBodies, size) {
		return nil, 0, ErrNoRoom
	}
	held = size
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			if b.stated >= 0 {
				return buffer, held, nil
			}
			// One byte beyond the limit shows that the body is too large.
			next := min(2*int64(cap(buffer)), limit+1)
			if int64(len(buffer)) > limit {
				b.conn.refused(reasonBodyTooLarge)
				return nil, held, &http.MaxBytesError{Limit: limit}
			}
			if !b.conn.grow(memorybudget.UseBodies, next) {
				return nil, held, ErrNoRoom
			}
			buffer = append(make([]byte, 0, next), buffer...)
			b.conn.release(memorybudget.UseBodies, held)
			held = next
		}
		n, err := b.ReadCloser.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(buffer)) > limit:
			b.conn.refused(reasonBodyTooLarge)
			return nil, held, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF) && b.stated < 0:
			return buffer, held, nil
		case err != nil && int64(len(buffer)) < b.stated || err != nil && b.stated < 0:
			return nil, held, err
		}
	}
}

// HoldAnswer pays for an answer of the given size until the request of a context ends. The request is worked on;
// AwaitReader says that it is written.
func HoldAnswer(ctx context.Context, bytes int64) error {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && !c.grow(memorybudget.UseAnswers, bytes) {
		return ErrNoRoom
	}
	return nil
}

// AwaitReader records that the answer to the request of a context, of which only the given size is held any more, now
// waits for its reader. The connection can be closed if the reader makes no progress and the memory is needed.
func AwaitReader(ctx context.Context, held, bytes int64) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.release(memorybudget.UseAnswers, held-bytes)
		c.tell(kindAwait)
	}
}
