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

// maxAnswerBytes bounds an answer: a file of 1 MiB and its frame.
const maxAnswerBytes = 4 << 20

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

// call sends the request to the entry processes in turn until one answers.
func (c *client) call(ctx context.Context, method, path string, body []byte, into any) error {
	var last error
	for _, entry := range c.entries {
		err := c.callOne(ctx, entry, method, path, body, into)
		var transport *transportError
		if !errors.As(err, &transport) {
			return err
		}
		last = err
	}
	return merry.Wrap(ErrUnreachable, merry.WithCause(last))
}

type transportError struct{ cause error }

func (e *transportError) Error() string { return e.cause.Error() }
func (e *transportError) Unwrap() error { return e.cause }

func (c *client) callOne(ctx context.Context, entry, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &transportError{err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &transportError{err}
	}
	if response.StatusCode != http.StatusOK {
		refused := &refusal{status: response.StatusCode}
		if err := json.Unmarshal(content, &refused.problem); err != nil {
			refused.problem.Reason = string(content)
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			return &transportError{refused}
		}
		return refused
	}
	return json.Unmarshal(content, into)
}
