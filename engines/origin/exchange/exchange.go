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

// Answer is a Finding as a message.
type Answer struct {
	Record    string `json:"r,omitempty"`
	Ambiguous bool   `json:"a,omitempty"`
	Sole      string `json:"v,omitempty"`
	// SoleFor is in milliseconds.
	SoleFor clock.Millis `json:"t,omitempty"`
	Several bool         `json:"m,omitempty"`
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
func (x *Exchange) Store(r origin.Record) <-chan struct{} {
	addrs, reachable, _ := x.cfg.Holders(r.Key.Hash(), asked)
	s := &store{x: x, record: r, rest: addrs, done: make(chan struct{})}
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
	for range addrs {
		select {
		case f := <-results:
			if f == nil {
				continue
			}
			s.Findings = append(s.Findings, *f)
			if f.Record != nil || f.Ambiguous {
				clock.AfterFunc(laterFindings, cancel)
			}
		case <-ctx.Done():
			return s
		}
	}
	return s
}

// ask returns the finding of the entry at addr, nil if it does not respond.
func (x *Exchange) ask(ctx context.Context, addr string, q origin.Query) *origin.Finding {
	c, err := x.cfg.Links.Get(addr, link.Control)
	var a Answer
	if err == nil {
		err = c.Call(ctx, MethodFind, Question{Key: base64.RawStdEncoding.EncodeToString(q.Key[:]), Workspace: q.Workspace, Service: q.Service}, &a)
	}
	if err != nil {
		x.cfg.Log.Debug("origin_not_asked", "peer", addr, "error", err)
		return nil
	}
	f := origin.Finding{From: addr, Ambiguous: a.Ambiguous, Sole: a.Sole, SoleFor: a.SoleFor, Several: a.Several}
	if records, err := origin.Unpack(a.Record); err == nil && len(records) == 1 && records[0].Key == q.Key {
		f.Record = &records[0]
	}
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
	a := Answer{Ambiguous: f.Ambiguous, Sole: f.Sole, SoleFor: f.SoleFor, Several: f.Several}
	if f.Record != nil {
		a.Record = origin.Pack([]origin.Record{*f.Record})
	}
	return a, nil
}
