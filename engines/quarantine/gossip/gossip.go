// Package gossip brings word of suspects from one entry to all others: at once, to a few
// by chance, each of which tells as many when it hears of it first; and by questions, for
// those whom that misses.
package gossip

import (
	"context"
	"encoding/json"
	"log/slog"

	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
)

const (
	// fanOut is how many others are told of news at once: all but one in twenty know it
	// after as many steps as the logarithm of the fleet, some ten milliseconds each.
	fanOut = 3
	// newsRate and newsBurst bound what news may take of a process's talk, in bytes a
	// second and at once: a third of the 5 KB/s that are for all talk.
	newsRate  = 1700
	newsBurst = 8 << 10
	// newsHead is what a message of news has beside the suspects, in bytes.
	newsHead = 64
	// MaxRequestSuspects and Told are how many suspects a question and an answer tell where both ends
	// do not know the same.
	MaxRequestSuspects  = 4
	MaxResponseSuspects = 16
	// compareLimit bounds a question.
	compareLimit clock.Millis = 1000
)

// Methods of the messages.
const (
	// MethodTell is a notification of News.
	MethodTell = "tell_suspects"
	// MethodCompare is a call with a Summary, answered by one.
	MethodCompare = "compare_suspects"
)

// Source is what an entry knows of suspects.
type Source interface {
	// SuspectsPending is sent to when there is word of suspects that others should have at once.
	SuspectsPending() <-chan struct{}
	// TakeSuspects returns that word, "" if there is none.
	TakeSuspects() string
	// ReceiveSuspects takes what another entry of that id tells, as it came. It may be a
	// lie.
	ReceiveSuspects(from, packed string)
}

// Summarizer is a Source that can tell what stands for all that it knows.
type Summarizer interface {
	Source
	// Summarize returns that, and at most n suspects.
	Summarize(n int) (sum uint64, packed string)
}

// Config sets up a Gossip.
type Config struct {
	// ID is the id of this entry.
	ID     string
	Source Source
	Links  *link.Pool
	// RandomPeers returns the addresses of at most n other entries by chance.
	RandomPeers func(n int) []string
	Log         *slog.Logger
}

// Gossip tells others what an entry hears of suspects.
type Gossip struct{ cfg Config }

// New returns a Gossip that does not run yet.
func New(cfg Config) *Gossip { return &Gossip{cfg: cfg} }

// Update is word of suspects that did not wait for a question.
type Update struct {
	From     string `json:"f"`
	Suspects string `json:"q"`
}

// Summary is what an entry knows of suspects.
type Summary struct {
	From     string `json:"f"`
	Sum      uint64 `json:"s,omitempty"`
	Suspects string `json:"q,omitempty"`
}

// Run tells others of news at once, until ctx is done. It keeps to newsRate; what is not
// told then waits.
func (g *Gossip) Run(ctx context.Context) {
	talk := rate.NewLimiter(newsRate, newsBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.cfg.Source.SuspectsPending():
		}
		for text := g.cfg.Source.TakeSuspects(); text != ""; text = g.cfg.Source.TakeSuspects() {
			for _, addr := range g.cfg.RandomPeers(fanOut) {
				// The only error is that of ctx, and then nobody is told.
				if talk.WaitN(ctx, min(newsBurst, len(text)+newsHead)) != nil {
					return
				}
				go g.tell(addr, text)
			}
		}
	}
}

// tell sends news to another entry. Who cannot be reached hears of it from others, or by
// its next question.
func (g *Gossip) tell(addr, text string) {
	c, err := g.cfg.Links.Get(addr, link.Control)
	if err == nil {
		err = c.Notify(MethodTell, Update{From: g.cfg.ID, Suspects: text})
	}
	if err != nil {
		g.cfg.Log.Debug("news_not_told", "peer", addr, "error", err)
	}
}

// HandleUpdate takes a notification of MethodTell.
func (g *Gossip) HandleUpdate(params json.RawMessage) {
	n, err := wire.Decode[Update](MethodTell, params)
	if err != nil {
		g.cfg.Log.Debug("news_not_read", "error", err)
		return
	}
	g.cfg.Source.ReceiveSuspects(n.From, n.Suspects)
}

// Compare asks another entry by chance what it knows, every period until ctx is done.
// Processes that talk of suspects with other questions do without.
func (g *Gossip) Compare(ctx context.Context, s Summarizer, period clock.Millis) {
	clock.Every(ctx, period, func() {
		for _, addr := range g.cfg.RandomPeers(1) {
			g.compare(ctx, s, addr)
		}
	})
}

func (g *Gossip) compare(ctx context.Context, s Summarizer, addr string) {
	ctx, cancel := context.WithTimeout(ctx, compareLimit.Duration())
	defer cancel()
	c, err := g.cfg.Links.Get(addr, link.Control)
	if err != nil {
		return
	}
	sum, packed := s.Summarize(MaxRequestSuspects)
	var a Summary
	if err := c.Call(ctx, MethodCompare, Summary{From: g.cfg.ID, Sum: sum, Suspects: packed}, &a); err != nil {
		g.cfg.Log.Debug("compare_failed", "peer", addr, "error", err)
		return
	}
	s.ReceiveSuspects(a.From, a.Suspects)
}

// HandleCompare answers a call of MethodCompare.
func (g *Gossip) HandleCompare(s Summarizer, params json.RawMessage) (Summary, error) {
	q, err := wire.Decode[Summary](MethodCompare, params)
	if err != nil {
		return Summary{}, err
	}
	s.ReceiveSuspects(q.From, q.Suspects)
	a := Summary{From: g.cfg.ID}
	if a.Sum, a.Suspects = s.Summarize(MaxResponseSuspects); a.Sum == q.Sum {
		a.Suspects = ""
	}
	return a, nil
}
