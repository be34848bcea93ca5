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
	MaxPeers       = 64
	sendersPerPeer = 2

	logQueueSize      = 1024 // messages
	snapshotQueueSize = 2    // messages; the log repeats a snapshot that got lost
	// maxBatchBytes closes a batch. One more message may exceed it.
	maxBatchBytes = 4 << 20
	// logTimeout bounds a request with log messages, beside the time that it is
	// on its way. It is far above the round trip between regions (16 ms) and lets
	// a replica that returns from a pause be reached within a second.
	logTimeout = time.Second
	// minLinkBytesPerSecond is the least rate between control replicas in bytes per second:
	// 20 Mbit/s.
	minLinkBytesPerSecond = 2_500_000
	// maxRequestsInFlight is the number of requests on the way to one replica. With
	// requestSpacing it covers the round trip between regions (16 ms).
	maxRequestsInFlight = 10
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
	opts    SenderOptions
	senders map[senderKey]*peerSender // of the task that calls Send
	added   chan *peerSender          // to Run; holds the lanes of MaxPeers, so that SetPeer never waits
}

type senderKey struct {
	peer     replog.ReplicaID
	snapshot bool
}

// peerSender is a task that sends the messages of its queue to one replica.
type peerSender struct {
	peer        Peer
	addresses   chan Peer // a new address; the latest one counts
	queue       chan replog.Message
	results     chan sendResult
	maxInFlight int // requests on the way
	timeout     time.Duration
	connect     func(Peer) rpcpb.Replication
	client      rpcpb.Replication
	logger      *eventlog.Logger
	metrics     *metrics.Set
	unreachable bool // the last request failed
}

// NewSender returns a sender. Run must be called for it to send.
func NewSender(opts SenderOptions) *Sender {
	s := &Sender{opts: opts, senders: map[senderKey]*peerSender{}, added: make(chan *peerSender, sendersPerPeer*MaxPeers)}
	for _, peer := range opts.Peers {
		s.SetPeer(peer)
	}
	return s
}

// SetPeer adds a replica or changes its address. It does not wait. Above
// MaxPeers replicas a new one is left out and false is returned.
func (s *Sender) SetPeer(peer Peer) bool {
	if p := s.senders[senderKey{peer.ID, false}]; p != nil {
		p.setAddress(peer)
		s.senders[senderKey{peer.ID, true}].setAddress(peer)
		return true
	}
	if len(s.senders) >= sendersPerPeer*MaxPeers {
		return false
	}
	s.add(peer, false, logQueueSize, maxRequestsInFlight, logTimeout)
	s.add(peer, true, snapshotQueueSize, 1, snapshotTimeout)
	return true
}

func (s *Sender) add(peer Peer, snapshot bool, queue, limit int, timeout time.Duration) {
	connect := func(to Peer) rpcpb.Replication {
		return rpcpb.NewReplicationProtobufClient(s.opts.Scheme+"://"+to.Address, s.opts.Client)
	}
	p := &peerSender{
		peer: peer, addresses: make(chan Peer, 1), queue: make(chan replog.Message, queue), timeout: timeout,
		maxInFlight: limit, results: make(chan sendResult, limit), connect: connect, client: connect(peer),
		logger: s.opts.Logger, metrics: s.opts.Metrics,
	}
	s.senders[senderKey{peer.ID, snapshot}] = p
	s.added <- p
}

// setAddress replaces an address that the lane has not taken yet.
func (p *peerSender) setAddress(peer Peer) {
	select {
	case <-p.addresses:
	default:
	}
	p.addresses <- peer
}

// NewClient returns the HTTP client for requests between replicas. TLS goes in
// here, as the TLS configuration of the transport.
func NewClient() *http.Client { return &http.Client{Transport: NewTransport()} }

// NewTransport returns the transport of NewClient, to which TLS may be added.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 2 * maxRequestsInFlight,
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
		case p := <-s.added:
			tasks.Go(func() { p.run(ctx) })
		}
	}
}

// Send queues messages without waiting.
func (s *Sender) Send(messages []replog.Message) {
	for _, m := range messages {
		p := s.senders[senderKey{m.To, m.Type == replog.MessageSnapshot}]
		if p == nil {
			continue // a replica that this process has no address of
		}
		select {
		case p.queue <- m:
		default:
			p.metrics.Add(metricMessagesDropped, "queue-full", 1)
		}
	}
}

// sendResult is the end of a request.
type sendResult struct {
	request *rpcpb.StepRequest
	err     error
}

func (p *peerSender) run(ctx context.Context) {
	spacing := time.NewTimer(requestSpacing)
	defer spacing.Stop()
	inFlight, spacingElapsed := 0, true
	for {
		queue := p.queue
		if inFlight >= p.maxInFlight || inFlight > 0 && !spacingElapsed {
			queue = nil
		}
		select {
		case <-ctx.Done():
			for range inFlight {
				<-p.results
			}
			return
		case first := <-queue:
			request := p.batch(first)
			client := p.client
			go func() { p.results <- sendResult{request, p.send(ctx, client, request)} }()
			inFlight++
			spacingElapsed = false
			spacing.Reset(requestSpacing)
		case result := <-p.results:
			inFlight--
			p.handleResult(result)
		case <-spacing.C:
			spacingElapsed = true
		case p.peer = <-p.addresses:
			p.client = p.connect(p.peer)
		}
	}
}

// batch joins the waiting messages to one request.
func (p *peerSender) batch(first replog.Message) *rpcpb.StepRequest {
	message := encodeMessage(first)
	request := &rpcpb.StepRequest{Messages: []*rpcpb.LogMessage{message}}
	size := proto.Size(message)
	for size < maxBatchBytes {
		select {
		case next := <-p.queue:
			message = encodeMessage(next)
			size += proto.Size(message)
			request.Messages = append(request.Messages, message)
		default:
			return request
		}
	}
	return request
}

func (p *peerSender) send(ctx context.Context, client rpcpb.Replication, request *rpcpb.StepRequest) error {
	transferTime := time.Duration(proto.Size(request)) * time.Second / minLinkBytesPerSecond
	callCtx, cancel := context.WithTimeout(ctx, p.timeout+transferTime)
	defer cancel()
	_, err := client.Step(callCtx, request)
	return err
}

func (p *peerSender) handleResult(r sendResult) {
	if r.err != nil {
		p.metrics.Add(metricMessagesDropped, "request-failed", int64(len(r.request.Messages)))
		p.setUnreachable(true, r.err)
		return
	}
	p.metrics.Add(metricMessagesSent, "", int64(len(r.request.Messages)))
	p.metrics.Add(metricBytesSent, "", int64(proto.Size(r.request)))
	p.setUnreachable(false, nil)
}

func (p *peerSender) setUnreachable(unreachable bool, err error) {
	if unreachable == p.unreachable {
		return
	}
	p.unreachable = unreachable
	event := eventPeerReachable
	if unreachable {
		event = eventPeerUnreachable
	}
	p.logger.Log(event, zap.Uint64("replica", uint64(p.peer.ID)), zap.String("address", p.peer.Address), zap.Error(err))
}
