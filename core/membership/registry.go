package membership

import (
	"fmt"
	"sort"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// maxBackends bounds the memory used by announcements. The planned cell has 900 workers.
	maxBackends = 4096
	// maxTokensPerBackend is the number of valid tokens per backend server: the one in use and
	// those of responses that may have been lost.
	maxTokensPerBackend = 4
	// retentionLeases is the number of leases for which an expired or leaving record is retained.
	// One lease would suffice, because a message sent before the record expired would itself be
	// expired by then.
	retentionLeases = 3
)

// Token identifies the time of a response to an announcement.
type Token string

// Verdict is the result of an announcement.
type Verdict string

// Possible results.
const (
	VerdictAccepted       Verdict = "accepted"
	VerdictNeedsToken     Verdict = "needs-token"     // resend immediately with the token of the reply
	VerdictStale          Verdict = "stale"           // older than the recorded announcement
	VerdictUnknownService Verdict = "unknown-service" // the service is not in the cell file
	VerdictFull           Verdict = "full"            // the registry has the maximum number of backend servers
)

// Reply is the response to an announcement.
type Reply struct {
	Verdict Verdict
	Token   Token
}

// AgedAnnouncement is an announcement with its age, as exchanged between entry processes.
type AgedAnnouncement struct {
	Announcement
	Age time.Duration
}

type issuedToken struct {
	token    Token
	issuedAt time.Time
}

type record struct {
	accepted         bool // an announcement was accepted; latest is set
	latest           TimedAnnouncement
	receivedDirectly TimedAnnouncement // last announcement that this process received from the backend server
	cursor           uint64            // number of receivedDirectly, or 0 if there is none
	issuedTokens     []issuedToken
	lastMessageAt    time.Time
}

// Registry holds the announcements known to one entry process.
type Registry struct {
	tokenPrefix string
	nextToken   uint64
	leases      map[cell.Service]time.Duration
	records     map[cell.BackendName]*record
	cursor      uint64 // number of the last announcement received directly, counted from 1
}

// NewRegistry returns an empty registry for one incarnation of an entry process.
func NewRegistry(entry cell.EntryName, incarnation cell.Incarnation) *Registry {
	return &Registry{
		tokenPrefix: fmt.Sprintf("%s.%d.", entry, incarnation),
		leases:      map[cell.Service]time.Duration{},
		records:     map[cell.BackendName]*record{},
	}
}

// SetLeases sets the services of the cell and their announce_lease.
func (r *Registry) SetLeases(leases map[cell.Service]time.Duration) { r.leases = leases }

// Receive handles an announcement that a backend server sent to this process.
func (r *Registry) Receive(now time.Time, a Announcement, token Token) Reply {
	if _, ok := r.leases[a.Service]; !ok {
		return Reply{Verdict: VerdictUnknownService}
	}
	rec := r.getOrCreateRecord(now, a.Backend)
	if rec == nil {
		return Reply{Verdict: VerdictFull}
	}
	issuedAt, valid := rec.tokenIssuedAt(token)
	reply := Reply{Verdict: VerdictNeedsToken, Token: r.issueToken(now, rec)}
	if !valid {
		return reply
	}
	timed := TimedAnnouncement{Announcement: a, EarliestTime: issuedAt}
	if !rec.update(timed) {
		reply.Verdict = VerdictStale
		return reply
	}
	r.cursor++
	rec.receivedDirectly, rec.cursor = timed, r.cursor
	reply.Verdict = VerdictAccepted
	return reply
}

// ReceivePulled handles an announcement pulled from another entry process. sentAt is when the pull
// was sent. It reports whether the announcement replaced the recorded one.
func (r *Registry) ReceivePulled(now, sentAt time.Time, a AgedAnnouncement) bool {
	if _, ok := r.leases[a.Service]; !ok || a.Age < 0 {
		return false
	}
	rec := r.getOrCreateRecord(now, a.Backend)
	return rec != nil && rec.update(TimedAnnouncement{Announcement: a.Announcement, EarliestTime: sentAt.Add(-a.Age)})
}

// Latest returns the last accepted announcement of a backend server.
func (r *Registry) Latest(name cell.BackendName) (TimedAnnouncement, bool) {
	rec := r.records[name]
	if rec == nil || !rec.accepted {
		return TimedAnnouncement{}, false
	}
	return rec.latest, true
}

// Since returns up to limit announcements after the cursor that backend servers sent to this
// process, oldest first, and the cursor for the next call. Only the last announcement of each
// backend server is kept.
func (r *Registry) Since(now time.Time, cursor uint64, limit int) ([]AgedAnnouncement, uint64) {
	var found []*record
	for _, rec := range r.records {
		if rec.cursor > cursor {
			found = append(found, rec)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].cursor < found[j].cursor })
	if len(found) > limit {
		found = found[:limit]
	}
	items := make([]AgedAnnouncement, len(found))
	for i, rec := range found {
		items[i] = AgedAnnouncement{Announcement: rec.receivedDirectly.Announcement, Age: now.Sub(rec.receivedDirectly.EarliestTime)}
		cursor = rec.cursor
	}
	return items, cursor
}

// Cursor returns the cursor of the last announcement that a backend server sent to this process.
func (r *Registry) Cursor() uint64 { return r.cursor }

// Expire removes records that no delayed message can refer to any more.
func (r *Registry) Expire(now time.Time) {
	for name, rec := range r.records {
		lease := r.leases[rec.latest.Service]
		last := rec.lastMessageAt
		if rec.accepted && rec.latest.EarliestTime.After(last) {
			last = rec.latest.EarliestTime
		}
		if now.Sub(last) > retentionLeases*max(lease, time.Second) {
			delete(r.records, name)
		}
	}
}

func (r *Registry) getOrCreateRecord(now time.Time, name cell.BackendName) *record {
	rec := r.records[name]
	if rec == nil {
		if len(r.records) >= maxBackends {
			return nil
		}
		rec = &record{}
		r.records[name] = rec
	}
	rec.lastMessageAt = now
	return rec
}

func (r *Registry) issueToken(now time.Time, rec *record) Token {
	r.nextToken++
	token := Token(fmt.Sprintf("%s%d", r.tokenPrefix, r.nextToken))
	rec.issuedTokens = append(rec.issuedTokens, issuedToken{token: token, issuedAt: now})
	if len(rec.issuedTokens) > maxTokensPerBackend {
		rec.issuedTokens = append(rec.issuedTokens[:0], rec.issuedTokens[1:]...)
	}
	return token
}

func (rec *record) tokenIssuedAt(token Token) (time.Time, bool) {
	for _, issued := range rec.issuedTokens {
		if issued.token == token {
			return issued.issuedAt, true
		}
	}
	return time.Time{}, false
}

func (rec *record) update(timed TimedAnnouncement) bool {
	if rec.accepted && !timed.supersedes(rec.latest) {
		return false
	}
	rec.accepted, rec.latest = true, timed
	return true
}
