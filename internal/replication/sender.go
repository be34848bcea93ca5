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
	logQueue      = 1024 // messages
	snapshotQueue = 2    // messages; the log repeats a snapshot that got lost
	// maxBatchBytes closes a batch. One more message may exceed it.
	maxBatchBytes = 4 << 20
	// logTimeout bounds a request with log messages. It is far above the
	// round trip between regions (16 ms) and lets a replica that returns from
	// a pause be reached within a second.
	logTimeout = time.Second
	// maxRequests is the number of requests on the way to one replica. With
	// requestSpacing it covers the round trip between regions (16 ms).
	maxRequests = 10
	// requestSpacing is the least time between the starts of two requests of
	// which the first is not answered. A message then waits for it rather than
	// for the round trip; without it requests often overtake each other, and
	// the log has to send again what came out of order.
	requestSpacing = 2 * time.Millisecond
	// snapshotTimeout lets 64 MiB pass over a link of 20 Mbit/s.
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

// Sender sends messages to the other replicas.
type Sender struct {
	lanes map[laneKey]*lane
}

type laneKey struct {
	peer     replog.ReplicaID
	snapshot bool
}

// lane is a task that sends the messages of its queue to one replica.
type lane struct {
	peer    Peer
	queue   chan replog.Message
	results chan sendResult
	limit   int // requests on the way
	timeout time.Duration
	client  rpcpb.Replication
	logger  *eventlog.Logger
	metrics *metrics.Set
	lost    bool // the last request failed
}

// NewSender returns a sender. Run must be called for it to send.
func NewSender(opts SenderOptions) *Sender {
	s := &Sender{lanes: map[laneKey]*lane{}}
	for _, peer := range opts.Peers {
		client := rpcpb.NewReplicationProtobufClient(opts.Scheme+"://"+peer.Address, opts.Client)
		add := func(snapshot bool, queue, limit int, timeout time.Duration) {
			s.lanes[laneKey{peer.ID, snapshot}] = &lane{
				peer: peer, queue: make(chan replog.Message, queue), timeout: timeout,
				limit: limit, results: make(chan sendResult, limit), client: client, logger: opts.Logger, metrics: opts.Metrics,
			}
		}
		add(false, logQueue, maxRequests, logTimeout)
		add(true, snapshotQueue, 1, snapshotTimeout)
	}
	return s
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
	for _, l := range s.lanes {
		tasks.Go(func() { l.run(ctx) })
	}
	tasks.Wait()
	// A group of one replica has no lanes.
	<-ctx.Done()
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
			go func() { l.results <- sendResult{request, l.send(ctx, request)} }()
			onTheWay++
			spaced = false
			spacing.Reset(requestSpacing)
		case result := <-l.results:
			onTheWay--
			l.finish(result)
		case <-spacing.C:
			spaced = true
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

func (l *lane) send(ctx context.Context, request *rpcpb.StepRequest) error {
	timed, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	_, err := l.client.Step(timed, request)
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
