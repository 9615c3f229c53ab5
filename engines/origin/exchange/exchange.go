// Package exchange passes the origins of streams between entries. An entry sends the
// record of a stream to a few others, which the key of the stream selects, before the
// caller receives the first event. So the record outlives the entry, and any entry knows
// which others to ask.
package exchange

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
)

const (
	// copies is the number of other entries that hold the record of a stream.
	copies = 3
	// asked is the number of other entries that are asked for a record. Entries may know
	// different ones, and those that hold the record may be down.
	asked = 2 * copies
	// storeTimeout limits a call that sends records.
	storeTimeout clock.Millis = 500
	// findTimeout limits a search, whose caller waits: a hundred times the latency between
	// data halls.
	findTimeout clock.Millis = 250
	// laterFindings is how long a search waits for further findings after a record was
	// found. Another entry may hold a later record of the same call.
	laterFindings clock.Millis = 20
)

// JSON-RPC methods.
const (
	// MethodStore is a call with packed records.
	MethodStore = "origins"
	// MethodFind is a call with a Question that returns an Answer.
	MethodFind = "find_origin"
)

// Question is a Query as a message.
type Question struct {
	Key       string `json:"k"`
	Workspace uint32 `json:"w"`
	Service   string `json:"s"`
}

// Answer is a Finding as a message. Times are in milliseconds before the answer.
type Answer struct {
	Record    string `json:"r,omitempty"`
	Ambiguous bool   `json:"a,omitempty"`
	Sole      string `json:"v,omitempty"`
	Several   bool   `json:"m,omitempty"`
	// SoleFor is the time since Knowledge.Since, zero if the entry knows nothing.
	SoleFor clock.Millis `json:"t,omitempty"`
	// ListAge is the time since Knowledge.AsOf and BelievedFor that since
	// Knowledge.BelievedSince, zero if the entry, of an earlier build, does not tell.
	ListAge     clock.Millis `json:"g,omitempty"`
	BelievedFor clock.Millis `json:"b,omitempty"`
	// Others is the number of other entries that the entry knows.
	Others int `json:"n,omitempty"`
}

// answer encodes a finding.
func answer(f origin.Finding, now clock.Millis) Answer {
	k := f.Knowledge
	a := Answer{Ambiguous: f.Ambiguous, Sole: k.Sole, Several: k.Several, Others: f.Others}
	if k.AsOf >= k.Since {
		a.SoleFor, a.ListAge = now-k.Since, max(1, now-k.AsOf)
	}
	if k.BelievedSince < now {
		a.BelievedFor = now - k.BelievedSince
	}
	if f.Record != nil {
		a.Record = origin.Pack([]origin.Record{*f.Record})
	}
	return a
}

// finding decodes the answer of the entry at addr to a question of the given key that was
// asked at a time of this entry's clock.
func (a Answer) finding(addr string, key origin.Key, askedAt, now clock.Millis) origin.Finding {
	k := origin.NoKnowledge()
	k.Sole, k.Several = a.Sole, a.Several
	if a.ListAge > 0 && a.SoleFor > 0 {
		k.Since, k.AsOf = now-a.SoleFor, askedAt-a.ListAge
	}
	if a.BelievedFor > 0 {
		k.BelievedSince = now - a.BelievedFor
	}
	f := origin.Finding{From: addr, Ambiguous: a.Ambiguous, Others: a.Others, Knowledge: k}
	if records, err := origin.Unpack(a.Record); err == nil && len(records) == 1 && records[0].Key == key {
		f.Record = &records[0]
	}
	return f
}

// Config configures an Exchange.
type Config struct {
	Host  origin.Host
	Links *link.Pool
	// Holders returns the addresses of up to n other entries, in the order that a hash
	// gives them, with those whose last call failed at the end, how many of all have not
	// failed, and how many are known.
	Holders func(hash uint64, n int) (addrs []string, reachable, known int)
	Clock   *clock.Clock
	Log     *slog.Logger
}

// Exchange sends and finds records. It is safe for concurrent use.
type Exchange struct {
	cfg     Config
	outputs outputs
	// stored counts the records sent by whether another entry has them.
	stored, unstored *metrics.Counter
}

var _ origin.Peers = (*Exchange)(nil)

// New returns an Exchange.
func New(cfg Config) *Exchange {
	x := &Exchange{
		cfg:      cfg,
		stored:   metrics.GetOrCreateCounter(`weldfall_origins_sent_total{held="true"}`),
		unstored: metrics.GetOrCreateCounter(`weldfall_origins_sent_total{held="false"}`),
	}
	x.outputs.send = x.send
	return x
}

// Store implements origin.Peers. A record that an entry does not take goes to the next
// one.
func (x *Exchange) Store(r origin.Record) <-chan bool {
	addrs, reachable, _ := x.cfg.Holders(r.Key.Hash(), asked)
	s := &store{x: x, record: r, rest: addrs, done: make(chan bool, 1)}
	if reachable == 0 {
		// A caller does not wait for entries that have not responded lately.
		s.finish(false)
	}
	s.start(copies)
	return s.done
}

// send sends records to the entry at addr.
func (x *Exchange) send(addr string, records []origin.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	c, err := x.cfg.Links.Get(addr, link.Control)
	if err == nil {
		err = c.Call(ctx, MethodStore, origin.Pack(records), nil)
	}
	if err != nil {
		x.cfg.Log.Debug("origins_not_sent", "peer", addr, "records", len(records), "error", err)
	}
	return err
}

// HandleStore handles a call of MethodStore. It fails if params cannot be decoded.
func (x *Exchange) HandleStore(params json.RawMessage) error {
	packed, err := wire.Decode[string](MethodStore, params)
	if err != nil {
		return err
	}
	records, err := origin.Unpack(packed)
	if err != nil {
		return fmt.Errorf("%s: %w", MethodStore, err)
	}
	x.cfg.Host.HoldOrigins(records)
	return nil
}

// Find implements origin.Peers. It returns when all entries have responded, a little
// after the first record was found, or at findTimeout.
func (x *Exchange) Find(ctx context.Context, q origin.Query) origin.Search {
	addrs, _, known := x.cfg.Holders(q.Key.Hash(), asked)
	s := origin.Search{Others: known}
	ctx, cancel := context.WithTimeout(ctx, findTimeout.Duration())
	defer cancel()
	results := make(chan *origin.Finding, len(addrs))
	for _, addr := range addrs {
		go func() { results <- x.ask(ctx, addr, q) }()
	}
	add := func(f *origin.Finding) {
		if f == nil {
			return
		}
		s.Findings = append(s.Findings, *f)
		if f.Record != nil || f.Ambiguous {
			clock.AfterFunc(laterFindings, cancel)
		}
	}
	for range addrs {
		select {
		case f := <-results:
			add(f)
		case <-ctx.Done():
			// After a standstill of this process, responses may be ready though the time
			// is over.
			for range len(results) {
				add(<-results)
			}
			return s
		}
	}
	return s
}

// ask returns the finding of the entry at addr, nil if it does not respond.
func (x *Exchange) ask(ctx context.Context, addr string, q origin.Query) *origin.Finding {
	askedAt := x.cfg.Clock.Now()
	c, err := x.cfg.Links.Get(addr, link.Control)
	var a Answer
	if err == nil {
		err = c.Call(ctx, MethodFind, Question{Key: base64.RawStdEncoding.EncodeToString(q.Key[:]), Workspace: q.Workspace, Service: q.Service}, &a)
	}
	if err != nil {
		x.cfg.Log.Debug("origin_not_asked", "peer", addr, "error", err)
		return nil
	}
	f := a.finding(addr, q.Key, askedAt, x.cfg.Clock.Now())
	return &f
}

// HandleFind handles a call of MethodFind. It fails if params cannot be decoded.
func (x *Exchange) HandleFind(params json.RawMessage) (Answer, error) {
	question, err := wire.Decode[Question](MethodFind, params)
	if err != nil {
		return Answer{}, err
	}
	b, err := base64.RawStdEncoding.DecodeString(question.Key)
	if err != nil || len(b) != len(origin.Key{}) {
		return Answer{}, fmt.Errorf("%s: key %q is not %d bytes in base64", MethodFind, question.Key, len(origin.Key{}))
	}
	f := x.cfg.Host.FindOrigin(origin.Query{Key: origin.Key(b), Workspace: question.Workspace, Service: question.Service})
	return answer(f, x.cfg.Clock.Now()), nil
}
