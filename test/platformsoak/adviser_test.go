package platformsoak

import (
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"testing"
	"time"
)

// Times of the stand-in adviser.
const (
	adviceBase   = 10 * time.Millisecond
	adviceEach   = 100 * time.Microsecond
	adviceValid  = 1500 * time.Millisecond
	adviceGrants = 70 // percent of the workers
)

// startAdviser serves advice calls and returns the address. The answer for one
// step and worker never changes.
func startAdviser(t *testing.T) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var m struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil || len(m.Workers) > 100 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(adviceBase + time.Duration(len(m.Workers))*adviceEach)
		granted := [][2]string{}
		for _, worker := range m.Workers {
			h := fnv.New32a()
			h.Write([]byte(m.Step + worker))
			if h.Sum32()%100 < adviceGrants {
				granted = append(granted, [2]string{worker, "t-" + worker})
			}
		}
		json.NewEncoder(w).Encode(map[string]any{"granted": granted, "validMs": adviceValid.Milliseconds()})
	})}
	go server.Serve(socket)
	t.Cleanup(func() { server.Close() })
	return socket.Addr().String()
}
