package replication

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/slowlink"
)

// Guards against an entry whose transfer takes longer than the request timeout, so that no
// follower receives it and commits stop.
func TestLargeEntryPassesASlowLink(t *testing.T) {
	received := make(channelReceiver, 1)
	server := startServer(t, received, metrics.New())
	client := NewClient()
	// Twice the minimum rate allows for a busy machine.
	client.Transport.(*http.Transport).DialContext = slowlink.Dial(2 * minLinkBytesPerSecond)
	peer := Peer{ID: 2, Address: server.Listener.Addr().String()}
	sender := NewSender(SenderOptions{Scheme: "http", Client: client, Peers: []Peer{peer}, Logger: eventlog.Nop(), Metrics: metrics.New()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); sender.Run(ctx) }()
	defer func() { cancel(); <-done }()
	entry := replog.Entry{Index: 8, Term: 4, Kind: replog.EntryCommand, Data: make([]byte, 12<<20)}
	sender.Send([]replog.Message{{Type: replog.MessageAppend, From: 1, To: 2, Term: 4, LogTerm: 3, LogIndex: 7, Entries: []replog.Entry{entry}}})
	select {
	case <-received:
	case <-time.After(20 * time.Second):
		t.Error("the entry did not arrive")
	}
}
