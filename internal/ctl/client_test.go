package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/internal/api"
)

// startEntry returns the address of an entry process that serves every request with handler.
func startEntry(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A submission whose response was lost may be in force, so it must be reported as unknown even when
// a later entry process refuses the file or cannot be reached.
func TestFileWithALostAnswerIsUnknown(t *testing.T) {
	lost := startEntry(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	refuse := func(status int) string {
		return startEntry(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(api.Problem{Reason: "refused"})
		})
	}
	accept := startEntry(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	closed := httptest.NewServer(nil)
	closed.Close()
	unreachable := strings.TrimPrefix(closed.URL, "http://")
	for name, c := range map[string]struct {
		path    string
		entries []string
		want    error
	}{
		"lost":                      {applyPath, []string{lost}, ErrUnknownOutcome},
		"lost, then nobody":         {applyPath, []string{lost, unreachable}, ErrUnknownOutcome},
		"lost, then refused":        {applyPath, []string{lost, refuse(http.StatusConflict)}, ErrUnknownOutcome},
		"lost, then unavailable":    {applyPath, []string{lost, refuse(http.StatusServiceUnavailable)}, ErrUnknownOutcome},
		"lost, then accepted":       {applyPath, []string{lost, accept}, nil},
		"nobody":                    {applyPath, []string{unreachable}, ErrUnreachable},
		"unavailable":               {applyPath, []string{refuse(http.StatusServiceUnavailable)}, ErrUnreachable},
		"nobody, then refused":      {applyPath, []string{unreachable, refuse(http.StatusConflict)}, ErrRefused},
		"unavailable, then refused": {applyPath, []string{refuse(http.StatusServiceUnavailable), refuse(http.StatusConflict)}, ErrRefused},
		"unknown at the entry":      {applyPath, []string{refuse(http.StatusGatewayTimeout)}, ErrUnknownOutcome},
		"check with a lost answer":  {checkPath, []string{lost}, ErrUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			client := &client{scheme: "http", entries: c.entries, http: &http.Client{}}
			err := client.call(context.Background(), http.MethodPost, c.path, []byte("generation = 1"), &api.CellFileAccepted{})
			if !errors.Is(err, c.want) || c.want != nil && ExitStatus(err) != ExitStatus(c.want) {
				t.Errorf("%v with exit status %d, want %v", err, ExitStatus(err), c.want)
			}
		})
	}
}
