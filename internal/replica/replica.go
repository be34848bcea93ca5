package replica

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Replica is the handle of a control replica. Its methods send messages to the replica task.
type Replica struct {
	opts        Options
	store       *storage.Store
	sender      *replication.Sender
	announcer   *replication.Announcer
	task        *task
	logMessages chan []replog.Message
	calls       chan call
	done        chan struct{} // closed when the replica task has ended
}

// New opens the data folder. Run must be called for the replica to work.
func New(opts Options) (*Replica, error) {
	disk := opts.Storage
	disk.Replica, disk.Logger, disk.Metrics = opts.ID, opts.Logger, opts.Metrics
	store, recovered, err := storage.Open(disk)
	if err != nil {
		return nil, err
	}
	client := opts.Client
	if client == nil {
		client = replication.NewClient()
	}
	r := &Replica{
		opts:  opts,
		store: store,
		sender: replication.NewSender(replication.SenderOptions{
			Peers: otherVoters(opts), Scheme: opts.Scheme, Client: client, Logger: opts.Logger, Metrics: opts.Metrics,
		}),
		announcer:   replication.NewAnnouncer(opts.Scheme, client),
		logMessages: make(chan []replog.Message, logMailboxSize),
		calls:       make(chan call, callMailboxSize),
		done:        make(chan struct{}),
	}
	r.task, err = newTask(r, recovered, client)
	if err != nil {
		store.Close()
		return nil, err
	}
	return r, nil
}

func isInitialVoter(opts Options) bool {
	return slices.ContainsFunc(opts.Voters, func(peer replication.Peer) bool { return peer.ID == opts.ID })
}

func otherVoters(opts Options) []replication.Peer {
	var others []replication.Peer
	for _, peer := range opts.Voters {
		if peer.ID != opts.ID {
			others = append(others, peer)
		}
	}
	return others
}

// Run runs the tasks until ctx ends, Stop was called or a task fails. After an error the process
// must exit.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 4)
	go func() { results <- r.store.Run(ctx) }()
	go func() { r.sender.Run(ctx); results <- nil }()
	go func() { r.announcer.Run(ctx); results <- nil }()
	go func() { results <- r.task.run(ctx) }()
	err := <-results
	cancel()
	for range cap(results) - 1 {
		err = errors.Join(err, <-results)
	}
	return err
}

// Close releases the data folder of a replica whose Run is never called.
func (r *Replica) Close() { r.store.Close() }

// Stop transfers leadership if this replica leads, answers the pending commands and ends the
// tasks. It waits until they have ended or ctx ends.
func (r *Replica) Stop(ctx context.Context) error {
	reply := newReply[struct{}]()
	select {
	// Unlike other calls, a stop waits for room in the mailbox.
	case r.calls <- stopCall{reply}:
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	_, err := awaitReply(ctx, r, reply)
	return err
}

// Report returns the replica's view of itself.
func (r *Replica) Report(ctx context.Context) (Report, error) {
	return ask(ctx, r, func(reply reply[Report]) call { return statusCall{reply} })
}

// Status implements replication.Receiver.
func (r *Replica) Status(ctx context.Context) (replication.Status, error) {
	report, err := r.Report(ctx)
	return report.Status, err
}

// HandleAnnouncement implements replication.Receiver.
func (r *Replica) HandleAnnouncement(ctx context.Context, from replication.Announcement) (replication.AnnounceReply, error) {
	return ask(ctx, r, func(reply reply[replication.AnnounceReply]) call { return announceCall{reply, from} })
}

// SetContacts replaces Options.Contacts.
func (r *Replica) SetContacts(ctx context.Context, addresses []string) error {
	_, err := ask(ctx, r, func(reply reply[struct{}]) call { return contactsCall{reply, addresses} })
	return err
}

// Deliver implements replication.Receiver.
func (r *Replica) Deliver(ctx context.Context, messages []replog.Message) error {
	select {
	case r.logMessages <- messages:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// propose commits a command whose time the caller has set.
func (r *Replica) propose(ctx context.Context, command state.Command, encoded []byte) (proposeResult, error) {
	started := time.Now()
	got, err := ask(ctx, r, func(reply reply[proposeResult]) call {
		return proposeCall{reply: reply, command: command, encoded: encoded, callerDone: ctx.Done()}
	})
	if err == nil {
		r.opts.Metrics.Observe(metricCommitDelay, time.Since(started))
	}
	return got, err
}

// ask sends a call to the task and waits for its answer.
func ask[T any](ctx context.Context, r *Replica, build func(reply[T]) call) (T, error) {
	var none T
	reply := newReply[T]()
	select {
	case r.calls <- build(reply):
	default:
		return none, ErrOverloaded
	}
	return awaitReply(ctx, r, reply)
}

// awaitReply waits for the reply to a call that is in the mailbox of the task.
func awaitReply[T any](ctx context.Context, r *Replica, reply reply[T]) (T, error) {
	select {
	case got := <-reply:
		return got.value, got.err
	case <-r.done:
		return finalReply(reply)
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// finalReply returns the reply that the task sent before it ended, or ErrStopped if there is none.
func finalReply[T any](reply reply[T]) (T, error) {
	select {
	case got := <-reply:
		return got.value, got.err
	default:
		var none T
		return none, ErrStopped
	}
}
