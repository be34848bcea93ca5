package replication

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// channelReceiver is a Receiver that sends the delivered messages to a channel.
type channelReceiver chan []replog.Message

func (i channelReceiver) Deliver(ctx context.Context, messages []replog.Message) error {
	select {
	case i <- messages:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (i channelReceiver) Status(context.Context) (Status, error) {
	return Status{ID: 2, Formed: true}, nil
}

func (i channelReceiver) HandleAnnouncement(_ context.Context, from Announcement) (AnnounceReply, error) {
	return AnnounceReply{Peers: []Peer{from.Peer}, FromLeader: true, Member: from.Joining}, nil
}

func sampleMessages() []replog.Message {
	entries := []replog.Entry{
		{Index: 8, Term: 3, Kind: replog.EntryCommand, Data: []byte("set")},
		{Index: 9, Term: 4, Kind: replog.EntryMembership, Data: replog.EncodeMembership(replog.Membership{Voters: []replog.ReplicaID{1, 2}})},
	}
	snapshot := &replog.Snapshot{Index: 7, Term: 3, Membership: replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}}, Data: []byte("state")}
	return []replog.Message{
		{Type: replog.MessageAppend, From: 1, To: 2, Term: 4, LogTerm: 3, LogIndex: 7, Commit: 6, Entries: entries, Context: 5, SentNanos: 77},
		{Type: replog.MessageAppendResponse, From: 1, To: 2, Term: 4, LogIndex: 9, Reject: true, Hint: 3},
		{Type: replog.MessageSnapshot, From: 1, To: 2, Term: 4, Snapshot: snapshot},
	}
}

func startServer(t *testing.T, receiver Receiver, set *metrics.Set) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	prefix, handler := NewServer(2, receiver, eventlog.Nop(), set)
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

// Guards against fields of a message that are lost or changed in transit.
func TestMessagesArriveUnchanged(t *testing.T) {
	received := make(channelReceiver, 16)
	server := startServer(t, received, metrics.New())
	sender := NewSender(SenderOptions{
		Peers: []Peer{{ID: 2, Address: strings.TrimPrefix(server.URL, "http://")}}, Scheme: "http",
		Client: NewClient(), Logger: eventlog.Nop(), Metrics: metrics.New(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); sender.Run(ctx) }()
	want := sampleMessages()
	sender.Send(want)
	got := map[replog.MessageType]replog.Message{}
	for len(got) < len(want) {
		for _, m := range <-received {
			got[m.Type] = m
		}
	}
	for _, m := range want {
		if !reflect.DeepEqual(got[m.Type], m) {
			t.Errorf("got %+v, want %+v", got[m.Type], m)
		}
	}
	cancel()
	<-done
}

// Guards against a queue that blocks the replica task while a peer is unreachable.
func TestFullQueueDropsMessages(t *testing.T) {
	set := metrics.New()
	sender := NewSender(SenderOptions{Peers: []Peer{{ID: 2, Address: "127.0.0.1:1"}}, Scheme: "http", Client: NewClient(), Logger: eventlog.Nop(), Metrics: set})
	for range logQueueSize + 3 {
		sender.Send([]replog.Message{{Type: replog.MessageAppend, To: 2}})
	}
	if want := `replication_messages_dropped_total{reason="queue-full"} 3`; !strings.Contains(set.Text(), want) {
		t.Errorf("metrics without %s:\n%s", want, set.Text())
	}
}

// Guards against malformed messages that reach the log, and against dropping valid messages of the
// same batch.
func TestMalformedMessagesAreDropped(t *testing.T) {
	cases := map[string]func(m *rpcpb.LogMessage){
		"unknown type":          func(m *rpcpb.LogMessage) { m.Type = 77 },
		"no sender":             func(m *rpcpb.LogMessage) { m.From = 0 },
		"no term":               func(m *rpcpb.LogMessage) { m.Term = 0 },
		"gap in entries":        func(m *rpcpb.LogMessage) { m.Entries[1].Index++ },
		"term decreases":        func(m *rpcpb.LogMessage) { m.Entries[1].Term = 2 },
		"term above message":    func(m *rpcpb.LogMessage) { m.Entries[1].Term = 5 },
		"unknown kind":          func(m *rpcpb.LogMessage) { m.Entries[0].Kind = 9 },
		"malformed membership":  func(m *rpcpb.LogMessage) { m.Entries[1].Data = []byte{200} },
		"entries in a response": func(m *rpcpb.LogMessage) { m.Type = uint32(replog.MessageAppendResponse) },
		"snapshot of an append": func(m *rpcpb.LogMessage) { m.Snapshot = &rpcpb.LogSnapshot{Index: 1, Term: 1} },
	}
	set := metrics.New()
	received := make(channelReceiver, 16)
	server := startServer(t, received, set)
	client := rpcpb.NewReplicationProtobufClient(server.URL, server.Client())
	sample := encodeMessage(sampleMessages()[0])
	for name, change := range cases {
		malformed := proto.Clone(sample).(*rpcpb.LogMessage)
		change(malformed)
		if _, err := decodeMessage(malformed); !errors.Is(err, errMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
		if _, err := client.Step(t.Context(), &rpcpb.StepRequest{Messages: []*rpcpb.LogMessage{malformed, sample}}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := <-received; len(got) != 1 {
			t.Errorf("%s: %d messages delivered, want 1", name, len(got))
		}
	}
	if want := `replication_messages_dropped_total{reason="malformed"} 10`; !strings.Contains(set.Text(), want) {
		t.Errorf("metrics without %s:\n%s", want, set.Text())
	}
}

// Guards against a decoder that panics on input from another process, and against a message that
// changes when it is encoded again.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := proto.Marshal(encodeMessage(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &rpcpb.LogMessage{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		m, err := decodeMessage(in)
		if err != nil {
			return
		}
		again, err := decodeMessage(encodeMessage(m))
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("got %+v, error %v, want %+v", again, err, m)
		}
	})
}

// Guards against messages that are sent to the former address of a replica, or dropped, after it
// announced a new one.
func TestPeerAddressChange(t *testing.T) {
	received := make(channelReceiver, 16)
	server := startServer(t, received, metrics.New())
	sender := NewSender(SenderOptions{Scheme: "http", Client: NewClient(), Logger: eventlog.Nop(), Metrics: metrics.New()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); sender.Run(ctx) }()
	for _, address := range []string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")} {
		if !sender.SetPeer(Peer{ID: 2, Address: address}) {
			t.Fatal("SetPeer refused the replica")
		}
	}
	// Messages sent before the peer sender has received the new address may be lost; the log
	// repeats them.
	for sent := false; !sent; {
		sender.Send(sampleMessages()[:1])
		select {
		case <-received:
			sent = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	for id := replog.ReplicaID(3); id < 3+MaxPeers-1; id++ {
		if !sender.SetPeer(Peer{ID: id, Address: "127.0.0.1:1"}) {
			t.Fatalf("SetPeer refused replica %d", id)
		}
	}
	if sender.SetPeer(Peer{ID: 1000, Address: "127.0.0.1:1"}) {
		t.Errorf("SetPeer accepted more than %d replicas", MaxPeers)
	}
	sender.RemovePeer(3)
	if !sender.SetPeer(Peer{ID: 1000, Address: "127.0.0.1:1"}) {
		t.Error("SetPeer refused a replica after another one was removed")
	}
	cancel()
	<-done
}

// Guards against an announcement that changes in transit, and against accepting addresses that
// cannot be used.
func TestAnnouncements(t *testing.T) {
	server := startServer(t, make(channelReceiver, 1), metrics.New())
	announcer := NewAnnouncer("http", NewClient())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); announcer.Run(ctx) }()
	self := Announcement{Peer: Peer{ID: 4, Address: "127.0.0.1:4"}, Joining: true}
	announcer.SetTargets(AnnounceTargets{Announcement: self, Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
	want := AnnounceResult{Announcement: self, Reply: AnnounceReply{Peers: []Peer{self.Peer}, FromLeader: true, Member: true}}
	if got := <-announcer.Results(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	cancel()
	<-done
	client := rpcpb.NewReplicationProtobufClient(server.URL, server.Client())
	for _, bad := range []*rpcpb.AnnounceRequest{
		{Address: "127.0.0.1:4"}, {ReplicaId: 4}, {ReplicaId: 4, Address: "host:1"}, {ReplicaId: 4, Address: "0.0.0.0:1"}, {ReplicaId: 4, Address: "127.0.0.1:0"},
	} {
		if _, err := client.Announce(t.Context(), bad); err == nil {
			t.Errorf("announcement %v was accepted", bad)
		}
	}
}
