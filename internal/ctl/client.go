// Package ctl is the operator's command line: it submits whole cell files and
// reads back what is in force. It changes nothing in any other way.
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
	// ErrRefused says that the request was answered with a refusal.
	ErrRefused = merry.Sentinel("refused")
	// ErrUnknownOutcome says that a file may or may not be in force; applying
	// it again is safe.
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
	ExitNotYet      = 6 // not in force everywhere within the time given
)

// Paths of files at an entry process.
const (
	applyPath = "/v1/config" // the only call that changes something
	checkPath = "/v1/config/check"
)

// maxResponseBytes bounds an answer: a file of 1 MiB and its frame.
const maxResponseBytes = 4 << 20

// client talks to the entry processes in turn.
type client struct {
	scheme  string
	entries []string
	http    *http.Client
}

// refusal is a problem answer.
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

// Is makes every refusal match ErrRefused, or ErrUnknownOutcome.
func (r *refusal) Is(target error) bool {
	if r.status == http.StatusGatewayTimeout {
		return target == ErrUnknownOutcome
	}
	return target == ErrRefused
}

// call sends the request to the entry processes in turn until one answers. A
// file of which a copy was sent without an answer may be in force, whatever the
// later entry processes say of theirs.
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

// transportError says that an entry process did not take the request, or gave no
// whole answer.
type transportError struct {
	cause         error
	maybeReceived bool // the request may have been taken
}

func (e *transportError) Error() string { return e.cause.Error() }
func (e *transportError) Unwrap() error { return e.cause }

func (c *client) callEntry(ctx context.Context, entry, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	connected := false // set in this goroutine, before anything is sent
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
