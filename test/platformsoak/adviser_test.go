package platformsoak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync/atomic"
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

// adviser grants tickets for one life of a worker.
type adviser struct {
	address string
	fleet   atomic.Pointer[fleet] // nil until the workers have started
}

// ticket is the content of a ticket.
type ticket struct {
	step, worker string
	bootedAtMs   int64
	issuedAtMs   int64
}

func (t ticket) encode() string {
	return fmt.Sprintf("%s %s %d %d", t.step, t.worker, t.bootedAtMs, t.issuedAtMs)
}

func decodeTicket(encoded string) (ticket, error) {
	var t ticket
	_, err := fmt.Sscanf(encoded, "%s %s %d %d", &t.step, &t.worker, &t.bootedAtMs, &t.issuedAtMs)
	return t, err
}

// startAdviser starts an adviser. Whether it grants a worker to a step never changes.
func startAdviser(t *testing.T) *adviser {
	a := &adviser{}
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
		lives := map[string]int64{}
		if f := a.fleet.Load(); f != nil {
			lives = f.lives()
		}
		granted := [][2]string{}
		for _, worker := range request.Workers {
			hash := fnv.New32a()
			hash.Write([]byte(request.Step + worker))
			if life, up := lives[worker]; up && hash.Sum32()%100 < adviceGrantPercent {
				granted = append(granted, [2]string{worker, ticket{request.Step, worker, life, time.Now().UnixMilli()}.encode()})
			}
		}
		json.NewEncoder(w).Encode(map[string]any{"granted": granted, "validMs": adviceValidity.Milliseconds()})
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	a.address = listener.Addr().String()
	return a
}
