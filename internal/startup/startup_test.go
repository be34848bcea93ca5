package startup

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

func newStart(t *testing.T) (*Start, *bytes.Buffer) {
	t.Helper()
	log := &bytes.Buffer{}
	logger, err := eventlog.New(log, "info", t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return New(logger, metrics.New()), log
}

func (s *Start) answer(t *testing.T) (int, string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, Path, nil))
	return recorder.Code, recorder.Body.String()
}

var errFirst, errSecond = errors.New("no room"), errors.New("no such device")

func causeOf(err error) Cause {
	if errors.Is(err, errFirst) {
		return CauseDiskFull
	}
	return CauseOtherVersion
}

// Guards against a process that ends at every start, and against a log line at every attempt.
func TestFailingStepIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, log := newStart(t)
		errs := []error{errFirst, errFirst, errFirst, errSecond, errSecond, nil}
		var took []time.Duration
		began := time.Now()
		err := start.Do(t.Context(), "step", causeOf, func() error {
			took = append(took, time.Since(began))
			err := errs[len(took)-1]
			if status, text := start.answer(t); len(took) > 1 && (status != http.StatusServiceUnavailable || !strings.Contains(text, errs[len(took)-2].Error())) {
				t.Errorf("attempt %d: status %d, %s", len(took), status, text)
			}
			return err
		})
		if status, _ := start.answer(t); err != nil || len(took) != len(errs) || status != http.StatusOK {
			t.Errorf("error %v after %d attempts, status %d", err, len(took), status)
		}
		if waits, resumed := strings.Count(log.String(), `"event":4313`), strings.Count(log.String(), `"event":4334`); waits != 2 || resumed != 1 {
			t.Errorf("events 4313: %d, 4334: %d\n%s", waits, resumed, log)
		}
		if first, asked := took[1], took[4]-took[3]; first > maxWait || asked < operatorWait {
			t.Errorf("attempts after %v", took)
		}
	})
}

// Guards against a process that cannot be stopped while its start waits.
func TestStopEndsAFailingStep(t *testing.T) {
	start, _ := newStart(t)
	ctx, stop := context.WithCancel(t.Context())
	err := start.Do(ctx, "step", causeOf, func() error { stop(); return errFirst })
	if !IsStopped(err) || !errors.Is(err, errFirst) {
		t.Errorf("error %v", err)
	}
}
