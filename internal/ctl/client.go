// Package ctl is the operators' command line. It submits whole cell files and reads back which file
// is in force. Submitting a file is the only change that it makes.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/internal/api"
)

// Errors of the command line, each with its exit status.
var (
	// ErrUnreachable says that no entry process answered.
	ErrUnreachable = merry.Sentinel("no entry process answered")
	// ErrRefused says that the request was rejected.
	ErrRefused = merry.Sentinel("refused")
	// ErrUnknownOutcome says that a file may or may not be in force. It is safe to apply the file
	// again.
	ErrUnknownOutcome = merry.Sentinel("outcome unknown, apply the same file again")
)

// Exit statuses of godwitctl.
const (
	ExitOK          = 0
	ExitFailure     = 1 // wrong usage, unreadable file
	ExitFaults      = 2 // the file has faults
	ExitRefused     = 3 // refused for another reason
	ExitUnreachable = 4 // no entry process answered
	ExitUnknown     = 5 // outcome unknown
	ExitNotInForce  = 6 // not in force everywhere within the time given
)

// Paths to which an entry process accepts cell files.
const (
	applyPath = "/v1/config" // the only request that changes state
	checkPath = "/v1/config/check"
)

// maxResponseBytes limits a response body. It leaves room for a cell file of 1 MiB and the JSON
// around it.
const maxResponseBytes = 4 << 20

// client sends requests to the entry processes in turn.
type client struct {
	scheme  string
	entries []string
	http    *http.Client
}

// refusal is a response with an error status.
type refusal struct {
	status  int
	problem api.Problem
}

// Error implements error.
func (r *refusal) Error() string {
	text := fmt.Sprintf("%s (status %d)", r.problem.Reason, r.status)
	if r.problem.Detail != "" {
		text += ": " + r.problem.Detail
	}
	if len(r.problem.Faults) > 0 {
		text += "\n" + r.problem.Faults.Error()
	}
	return text
}

// Is makes a refusal match ErrUnknownOutcome for status 504, and ErrRefused otherwise.
func (r *refusal) Is(target error) bool {
	if r.status == http.StatusGatewayTimeout {
		return target == ErrUnknownOutcome
	}
	return target == ErrRefused
}

// call sends the request to the entry processes in turn until one responds. When a cell file was
// sent to an entry process whose response was lost, that file may be in force, so a later refusal
// or transport error is reported as ErrUnknownOutcome.
func (c *client) call(ctx context.Context, method, path string, body []byte, into any) error {
	var lastErr error
	outcomeUnknown := false
	for _, entry := range c.entries {
		lastErr = c.callEntry(ctx, entry, method, path, body, into)
		var transport *transportError
		if !errors.As(lastErr, &transport) {
			break
		}
		outcomeUnknown = outcomeUnknown || transport.maybeReceived && path == applyPath
	}
	var transport *transportError
	var refused *refusal
	switch {
	case outcomeUnknown && (errors.As(lastErr, &transport) || errors.As(lastErr, &refused)):
		return merry.Wrap(ErrUnknownOutcome, merry.AppendMessage(lastErr.Error()))
	case errors.As(lastErr, &transport):
		return merry.Wrap(ErrUnreachable, merry.WithCause(lastErr))
	}
	return lastErr
}

// transportError says that an entry process could not be reached, was unavailable, or sent an
// incomplete response.
type transportError struct {
	cause         error
	maybeReceived bool // the entry process may have processed the request
}

func (e *transportError) Error() string { return e.cause.Error() }
func (e *transportError) Unwrap() error { return e.cause }

func (c *client) callEntry(ctx context.Context, entry, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	connected := false // written in this goroutine before anything is sent
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}))
	response, err := c.http.Do(request)
	if err != nil {
		return &transportError{cause: err, maybeReceived: connected}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &transportError{cause: err, maybeReceived: true}
	}
	if response.StatusCode != http.StatusOK {
		refused := &refusal{status: response.StatusCode}
		if err := json.Unmarshal(content, &refused.problem); err != nil {
			refused.problem.Reason = string(content)
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			return &transportError{cause: refused}
		}
		return refused
	}
	return json.Unmarshal(content, into)
}
