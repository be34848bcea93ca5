package replication

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Bounds of the queues and requests.
const (
	// MaxPeers bounds the replicas that a replica remembers. Ids are never
	// reused, so a long life with many replacements reaches more than the 7
	// that may be listed at once.
	MaxPeers     = 64
	lanesPerPeer = 2

	logQueue      = 1024 // messages
	snapshotQueue = 2    // messages; the log repeats a snapshot that got lost
	// maxBatchBytes closes a batch. One more message may exceed it.
	maxBatchBytes = 4 << 20
	// logTimeout bounds a request with log messages, beside the time that it is
	// on its way. It is far above the round trip between regions (16 ms) and lets
	// a replica that returns from a pause be reached within a second.
	logTimeout = time.Second
	// slowestLink is the least rate between control replicas in bytes per second:
	// 20 Mbit/s.
	slowestLink = 2_500_000
	// maxRequests is the number of requests on the way to one replica. With
	// requestSpacing it covers the round trip between regions (16 ms).
	maxRequests = 10
	// requestSpacing is the least time between the starts of two requests of
	// which the first is not answered. A message then waits for it rather than
	// for the round trip; without it requests often overtake each other, and
	// the log has to send again what came out of order.
	requestSpacing = 2 * time.Millisecond
	// snapshotTimeout is logTimeout for a snapshot, which the receiver also writes
	// to its disk.
	snapshotTimeout = 30 * time.Second
)

// Peer is another replica.
type Peer struct {
	ID      replog.ReplicaID
	Address string // IP and port of its internal listener
}

// SenderOptions are what a Sender needs.
type SenderOptions struct {
	Peers   []Peer
	Scheme  string // http, or https where Client has certificates
	Client  *http.Client
	Logger  *eventlog.Logger
	Metrics *metrics.Set
}

// Sender sends messages to the other replicas. Run is called once; Send and
// SetPeer are called by one task.
type Sender struct {
	opts  SenderOptions
	lanes map[laneKey]*lane // of the task that calls Send
	added chan *lane        // to Run; holds the lanes of MaxPeers, so that SetPeer never waits
}

type laneKey struct {
	peer     replog.ReplicaID
	snapshot bool
}

// lane is a task that sends the messages of its queue to one replica.
type lane struct {
	peer    Peer
	moved   chan Peer // a new address; the latest one counts
	queue   chan replog.Message
	results chan sendResult
	limit   int // requests on the way
	timeout time.Duration
	connect func(Peer) rpcpb.Replication
	client  rpcpb.Replication
	logger  *eventlog.Logger
	metrics *metrics.Set
	lost    bool // the last request failed
}

// NewSender returns a sender. Run must be called for it to send.
func NewSender(opts SenderOptions) *Sender {
	s := &Sender{opts: opts, lanes: map[laneKey]*lane{}, added: make(chan *lane, lanesPerPeer*MaxPeers)}
	for _, peer := range opts.Peers {
		s.SetPeer(peer)
	}
	return s
}

// SetPeer adds a replica or changes its address. It does not wait. Above
// MaxPeers replicas a new one is left out and false is returned.
func (s *Sender) SetPeer(peer Peer) bool {
	if l := s.lanes[laneKey{peer.ID, false}]; l != nil {
		l.move(peer)
		s.lanes[laneKey{peer.ID, true}].move(peer)
		return true
	}
	if len(s.lanes) >= lanesPerPeer*MaxPeers {
		return false
	}
	s.add(peer, false, logQueue, maxRequests, logTimeout)
	s.add(peer, true, snapshotQueue, 1, snapshotTimeout)
	return true
}

func (s *Sender) add(peer Peer, snapshot bool, queue, limit int, timeout time.Duration) {
	connect := func(to Peer) rpcpb.Replication {
		return rpcpb.NewReplicationProtobufClient(s.opts.Scheme+"://"+to.Address, s.opts.Client)
	}
	l := &lane{
		peer: peer, moved: make(chan Peer, 1), queue: make(chan replog.Message, queue), timeout: timeout,
		limit: limit, results: make(chan sendResult, limit), connect: connect, client: connect(peer),
		logger: s.opts.Logger, metrics: s.opts.Metrics,
	}
	s.lanes[laneKey{peer.ID, snapshot}] = l
	s.added <- l
}

// move replaces an address that the lane has not taken yet.
func (l *lane) move(peer Peer) {
	select {
	case <-l.moved:
	default:
	}
	l.moved <- peer
}

// NewClient returns the HTTP client for requests between replicas. TLS goes in
// here, as the TLS configuration of the transport.
func NewClient() *http.Client { return &http.Client{Transport: NewTransport()} }

// NewTransport returns the transport of NewClient, to which TLS may be added.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 2 * maxRequests,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-s.added:
			tasks.Go(func() { l.run(ctx) })
		}
	}
}

// Send queues messages without waiting.
func (s *Sender) Send(messages []replog.Message) {
	for _, m := range messages {
		l := s.lanes[laneKey{m.To, m.Type == replog.MessageSnapshot}]
		if l == nil {
			continue // a replica that this process has no address of
		}
		select {
		case l.queue <- m:
		default:
			l.metrics.Add(metricDropped, "queue-full", 1)
		}
	}
}

// sendResult is the end of a request.
type sendResult struct {
	request *rpcpb.StepRequest
	err     error
}

func (l *lane) run(ctx context.Context) {
	spacing := time.NewTimer(requestSpacing)
	defer spacing.Stop()
	onTheWay, spaced := 0, true
	for {
		queue := l.queue
		if onTheWay >= l.limit || onTheWay > 0 && !spaced {
			queue = nil
		}
		select {
		case <-ctx.Done():
			for range onTheWay {
				<-l.results
			}
			return
		case first := <-queue:
			request := l.batch(first)
			client := l.client
			go func() { l.results <- sendResult{request, l.send(ctx, client, request)} }()
			onTheWay++
			spaced = false
			spacing.Reset(requestSpacing)
		case result := <-l.results:
			onTheWay--
			l.finish(result)
		case <-spacing.C:
			spaced = true
		case l.peer = <-l.moved:
			l.client = l.connect(l.peer)
		}
	}
}

// batch joins the waiting messages to one request.
func (l *lane) batch(first replog.Message) *rpcpb.StepRequest {
	message := encodeMessage(first)
	request := &rpcpb.StepRequest{Messages: []*rpcpb.LogMessage{message}}
	size := proto.Size(message)
	for size < maxBatchBytes {
		select {
		case next := <-l.queue:
			message = encodeMessage(next)
			size += proto.Size(message)
			request.Messages = append(request.Messages, message)
		default:
			return request
		}
	}
	return request
}

func (l *lane) send(ctx context.Context, client rpcpb.Replication, request *rpcpb.StepRequest) error {
	onTheWay := time.Duration(proto.Size(request)) * time.Second / slowestLink
	timed, cancel := context.WithTimeout(ctx, l.timeout+onTheWay)
	defer cancel()
	_, err := client.Step(timed, request)
	return err
}

func (l *lane) finish(r sendResult) {
	if r.err != nil {
		l.metrics.Add(metricDropped, "request-failed", int64(len(r.request.Messages)))
		l.setLost(true, r.err)
		return
	}
	l.metrics.Add(metricSent, "", int64(len(r.request.Messages)))
	l.metrics.Add(metricBytes, "", int64(proto.Size(r.request)))
	l.setLost(false, nil)
}

func (l *lane) setLost(lost bool, err error) {
	if lost == l.lost {
		return
	}
	l.lost = lost
	event := eventPeerBack
	if lost {
		event = eventPeerLost
	}
	l.logger.Log(event, zap.Uint64("replica", uint64(l.peer.ID)), zap.String("address", l.peer.Address), zap.Error(err))
}
