package replication

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Bounds of the queues, batches and requests.
const (
	// MaxPeers bounds the replicas whose addresses a replica stores. A group has at most 7 members;
	// the others are replicas that were replaced or have announced themselves a moment ago.
	MaxPeers       = 64
	sendersPerPeer = 2

	logQueueSize      = 1024 // messages
	snapshotQueueSize = 2    // messages; the log sends a lost snapshot again
	// maxBatchBytes is the size at which a batch is closed. Its last message may take it over this
	// size.
	maxBatchBytes = 4 << 20
	// logTimeout bounds a request with log messages, in addition to its transfer time. It is far
	// above the round trip between regions (16 ms), and short enough to reach a replica that
	// resumes after a pause within a second.
	logTimeout = time.Second
	// minLinkBytesPerSecond is the minimum rate between control replicas: 20 Mbit/s.
	minLinkBytesPerSecond = 2_500_000
	// maxRequestsInFlight is the number of unanswered requests to one replica. With requestSpacing
	// it covers the round trip between regions (16 ms).
	maxRequestsInFlight = 10
	// requestSpacing is the least time between the starts of two requests while the first one is
	// unanswered. A message then waits for the spacing instead of the round trip. Without it
	// requests often overtake each other, and the log has to repeat messages that arrive out of
	// order.
	requestSpacing = 2 * time.Millisecond
	// snapshotTimeout is the equivalent of logTimeout for a snapshot, which the receiver also
	// writes to its disk.
	snapshotTimeout = 30 * time.Second
)

// Peer is a replica and its address.
type Peer = controlgroup.Peer

// SenderOptions configures a Sender.
type SenderOptions struct {
	Peers   []Peer
	Scheme  string // http, or https if Client has certificates
	Client  *http.Client
	Logger  *eventlog.Logger
	Metrics *metrics.Set
}

// Sender sends messages to the other replicas. Run is called once; Send, SetPeer and RemovePeer are
// called by a single task.
type Sender struct {
	opts    SenderOptions
	senders map[senderKey]*peerSender // used only by the task that calls Send
	added   chan *peerSender          // new senders for Run; has room for MaxPeers peers, so that SetPeer never waits
}

type senderKey struct {
	peer     replog.ReplicaID
	snapshot bool
}

// peerSender is a task that sends the messages of its queue to one replica.
type peerSender struct {
	peer        Peer
	addresses   chan Peer     // holds the latest change of the address
	removed     chan struct{} // closed by RemovePeer
	queue       chan replog.Message
	results     chan sendResult
	maxInFlight int // unanswered requests
	timeout     time.Duration
	connect     func(Peer) rpcpb.Replication
	client      rpcpb.Replication
	logger      *eventlog.Logger
	metrics     *metrics.Set
	unreachable bool // the last completed request failed
}

// NewSender returns a sender. It sends nothing until Run is called.
func NewSender(opts SenderOptions) *Sender {
	s := &Sender{opts: opts, senders: map[senderKey]*peerSender{}, added: make(chan *peerSender, sendersPerPeer*MaxPeers)}
	for _, peer := range opts.Peers {
		s.SetPeer(peer)
	}
	return s
}

// RemovePeer ends the tasks of a replica. Messages that are queued for it are dropped.
func (s *Sender) RemovePeer(id replog.ReplicaID) {
	for _, snapshot := range []bool{false, true} {
		key := senderKey{id, snapshot}
		if p := s.senders[key]; p != nil {
			close(p.removed)
			delete(s.senders, key)
		}
	}
}

// SetPeer adds a replica or changes its address. It does not wait. It returns false without adding
// the replica if there are MaxPeers replicas already, or if Run has not started the tasks of many
// added before.
func (s *Sender) SetPeer(peer Peer) bool {
	if p := s.senders[senderKey{peer.ID, false}]; p != nil {
		p.setAddress(peer)
		s.senders[senderKey{peer.ID, true}].setAddress(peer)
		return true
	}
	if len(s.senders) >= sendersPerPeer*MaxPeers || cap(s.added)-len(s.added) < sendersPerPeer {
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
		peer: peer, addresses: make(chan Peer, 1), removed: make(chan struct{}), queue: make(chan replog.Message, queue), timeout: timeout,
		maxInFlight: limit, results: make(chan sendResult, limit), connect: connect, client: connect(peer),
		logger: s.opts.Logger, metrics: s.opts.Metrics,
	}
	s.senders[senderKey{peer.ID, snapshot}] = p
	s.added <- p
}

// setAddress replaces the address, including a change that the task has not received yet.
func (p *peerSender) setAddress(peer Peer) {
	select {
	case <-p.addresses:
	default:
	}
	p.addresses <- peer
}

// NewClient returns the HTTP client for requests between replicas, without TLS.
func NewClient() *http.Client { return &http.Client{Transport: NewTransport()} }

// NewTransport returns the transport of NewClient. The caller may set its TLS configuration.
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
			continue // the address of the replica is unknown
		}
		select {
		case p.queue <- m:
		default:
			p.metrics.Add(metricMessagesDropped, "queue-full", 1)
		}
	}
}

// sendResult is the outcome of a request.
type sendResult struct {
	request *rpcpb.StepRequest
	err     error
}

func (p *peerSender) run(ctx context.Context) {
	spacing := time.NewTimer(requestSpacing)
	defer spacing.Stop()
	inFlight, spacingElapsed := 0, true
	defer func() {
		for range inFlight {
			<-p.results
		}
	}()
	for {
		queue := p.queue
		if inFlight >= p.maxInFlight || inFlight > 0 && !spacingElapsed {
			queue = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-p.removed:
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

// batch combines the waiting messages into one request.
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
