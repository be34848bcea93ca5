package platformsoak

import (
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"testing"
	"time"
)

// Behavior of the stand-in adviser.
const (
	adviceBaseLatency      = 10 * time.Millisecond
	adviceLatencyPerWorker = 100 * time.Microsecond
	adviceValidity         = 1500 * time.Millisecond
	adviceGrantPercent     = 70 // percent of the workers
)

// startAdviser serves advice calls and returns its address. The response for a step and a worker is
// always the same.
func startAdviser(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(adviceBaseLatency + time.Duration(len(request.Workers))*adviceLatencyPerWorker)
		granted := [][2]string{}
		for _, worker := range request.Workers {
			hash := fnv.New32a()
			hash.Write([]byte(request.Step + worker))
			if hash.Sum32()%100 < adviceGrantPercent {
				granted = append(granted, [2]string{worker, "t-" + worker})
			}
		}
		json.NewEncoder(w).Encode(map[string]any{"granted": granted, "validMs": adviceValidity.Milliseconds()})
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}
