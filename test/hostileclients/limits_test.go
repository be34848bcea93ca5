package hostileclients

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"
)

// status sends a job with a body of the given size and a head with a field of the given size, and returns the
// status of the answer, or 0 if there is none.
func (s *system) status(bodyBytes, fieldBytes int) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.clientsAddress()+queuePath+"00000000000000ab", bytes.NewReader(body(bodyBytes)))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = queueHost
	request.Header.Set("X-Field", strings.Repeat("x", fieldBytes))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// expectStatus sends such jobs until one is answered with the status.
func (s *system) expectStatus(want, bodyBytes, fieldBytes int) {
	s.t.Helper()
	last := 0
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if last = s.status(bodyBytes, fieldBytes); last == want {
			return
		}
	}
	s.t.Errorf("body of %d bytes, field of %d: status %d, want %d", bodyBytes, fieldBytes, last, want)
}

// Guards against limits of the configuration that never reach the entry processes, that stay in force after a
// configuration without them, or that are those of an earlier configuration. 400 is the answer to a body that was
// read: it is no job.
func TestLimitsOfTheConfigurationAreInForce(t *testing.T) {
	s := startSystem(t)
	s.expectStatus(http.StatusRequestEntityTooLarge, 300_000, 0)
	s.expectStatus(http.StatusRequestHeaderFieldsTooLarge, 100, 20_000)
	s.expectStatus(http.StatusBadRequest, 250_000, 15_000)
	s.configureLimits(2, `{"maxHeaderBytes":4000,"maxBodyBytes":1000}`, "")
	s.expectStatus(http.StatusRequestEntityTooLarge, 1_001, 0)
	s.expectStatus(http.StatusRequestHeaderFieldsTooLarge, 100, 4_000)
	s.configureLimits(3, `{}`, "")
	s.expectStatus(http.StatusBadRequest, 300_000, 0)
	s.expectStatus(http.StatusBadRequest, 100, 20_000)
}
