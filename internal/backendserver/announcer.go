package backendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/pause"
)

// announceTimeout limits an announcement to an entry process that does not respond, so that another
// entry process can receive one before the lease ends.
const announceTimeout = 500 * time.Millisecond

// announcer sends the announcements. One goroutine at a time uses it.
type announcer struct {
	template  backendapi.Announcement
	entries   []string
	nextEntry int // index of the entry process for the next announcement
	tokens    map[string]cachedToken
	interval  time.Duration
	lease     time.Duration
	client    *http.Client
	logger    *eventlog.Logger
	inFlight  func() int
	failing   bool
}

// cachedToken is the latest token from an entry process.
type cachedToken struct {
	token      string
	receivedAt time.Time
}

// run sends announcements at each interval until ctx ends.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.announceToAny(ctx, false)
		_ = pause.For(ctx, a.interval)
	}
}

// leave sends announcements of the leave until an entry process acknowledges one or ctx ends.
func (a *announcer) leave(ctx context.Context) {
	for ctx.Err() == nil && !a.announceToAny(ctx, true) {
		_ = pause.For(ctx, a.interval/4)
	}
}

// announceToAny tries the entry processes in turn until one accepts the announcement, and reports
// whether one did.
func (a *announcer) announceToAny(ctx context.Context, leaving bool) bool {
	for range a.entries {
		entry := a.entries[a.nextEntry]
		a.nextEntry = (a.nextEntry + 1) % len(a.entries)
		err := a.announce(ctx, entry, leaving)
		a.logTransition(entry, err)
		if err == nil {
			return true
		}
	}
	return false
}

// announce sends one announcement. When the entry process asks for a token, announce repeats the
// announcement with the token from the response.
func (a *announcer) announce(ctx context.Context, entry string, leaving bool) error {
	verdict, err := a.send(ctx, entry, leaving)
	if err == nil && verdict == membership.VerdictNeedsToken {
		verdict, err = a.send(ctx, entry, leaving)
	}
	if err != nil {
		return err
	}
	if verdict != membership.VerdictAccepted {
		return fmt.Errorf("backendserver: announcement was not accepted: %s", verdict)
	}
	return nil
}

func (a *announcer) send(ctx context.Context, entry string, leaving bool) (membership.Verdict, error) {
	a.template.Sequence++
	message := a.template
	message.Leaving = leaving
	message.InFlight = a.inFlight()
	message.Token = a.tokenFor(entry)
	body, err := json.Marshal(message)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + entry + backendapi.AnnouncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return a.readResponse(entry, resp)
}

// tokenFor returns the cached token of an entry process unless it is older than half of the lease.
// An entry process counts the age of an announcement from the age of its token.
func (a *announcer) tokenFor(entry string) string {
	cached := a.tokens[entry]
	if time.Since(cached.receivedAt) > a.lease/2 {
		return ""
	}
	return cached.token
}

func (a *announcer) readResponse(entry string, resp *http.Response) (membership.Verdict, error) {
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("backendserver: announcement answered with status %d", resp.StatusCode)
	}
	var response backendapi.AnnouncementResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return "", err
	}
	a.tokens[entry] = cachedToken{token: response.Token, receivedAt: time.Now()}
	if response.IntervalMS > 0 && response.LeaseMS > 0 {
		a.interval = time.Duration(response.IntervalMS) * time.Millisecond
		a.lease = time.Duration(response.LeaseMS) * time.Millisecond
	}
	return membership.Verdict(response.Verdict), nil
}

// logTransition logs the first failure, and the first success after a failure.
func (a *announcer) logTransition(entry string, err error) {
	failing := err != nil
	if failing == a.failing {
		return
	}
	a.failing = failing
	event := eventAnnounceRecovered
	if failing {
		event = eventAnnounceFailed
	}
	a.logger.Log(event, zap.String("entry", entry), zap.Error(err))
}
