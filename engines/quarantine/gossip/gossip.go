// Package gossip spreads reports of suspects from one entry to all others. An entry pushes
// new reports to a few random peers at once, and each of them passes them on when it receives
// them for the first time. Entries that this misses learn of suspects by comparing what they
// know with a random peer.
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
	// fanout is the number of peers that receive an update at once. All but one in twenty
	// entries have it after a number of hops logarithmic in the size of the fleet, of about
	// ten milliseconds each.
	fanout = 3
	// updateRate and updateBurst limit updates, in bytes per second and bytes. The rate is a
	// third of the 5 KB/s that a process may use for all messages to its peers.
	updateRate  = 1700
	updateBurst = 8 << 10
	// updateOverhead is the size of an update without its suspects, in bytes.
	updateOverhead = 64
	// MaxRequestSuspects and MaxResponseSuspects are the numbers of suspects in a comparison
	// of entries that know different ones.
	MaxRequestSuspects  = 4
	MaxResponseSuspects = 16
	// compareTimeout limits a comparison.
	compareTimeout clock.Millis = 1000
)

// JSON-RPC methods.
const (
	// MethodTell is a notification with an Update.
	MethodTell = "tell_suspects"
	// MethodCompare is a call with a Summary that returns a Summary.
	MethodCompare = "compare_suspects"
)

// Source provides and receives reports of suspects.
type Source interface {
	// SuspectsPending returns a channel that receives a value when there are reports to send
	// to peers at once.
	SuspectsPending() <-chan struct{}
	// TakeSuspects removes and returns those reports in packed form, "" if there are none.
	TakeSuspects() string
	// ReceiveSuspects handles packed reports from the peer with the ID from. They are not
	// validated and may be false.
	ReceiveSuspects(from, packed string)
}

// Summarizer is a Source that can summarize the suspects it knows.
type Summarizer interface {
	Source
	// Summarize returns a checksum of all suspects, and reports of at most n of them.
	Summarize(n int) (sum uint64, packed string)
}

// Config configures a Gossip.
type Config struct {
	// ID is the ID of this entry.
	ID     string
	Source Source
	Links  *link.Pool
	// RandomPeers returns the addresses of at most n random peers.
	RandomPeers func(n int) []string
	Log         *slog.Logger
}

// Gossip exchanges reports of suspects with peers.
type Gossip struct{ cfg Config }

// New returns a Gossip. Run and Compare start it.
func New(cfg Config) *Gossip { return &Gossip{cfg: cfg} }

// Update carries new reports of suspects.
type Update struct {
	From     string `json:"f"`
	Suspects string `json:"q"`
}

// Summary is a checksum of the suspects that an entry knows, with a sample of them.
type Summary struct {
	From     string `json:"f"`
	Sum      uint64 `json:"s,omitempty"`
	Suspects string `json:"q,omitempty"`
}

// Run sends pending reports to peers until ctx is done. It keeps to updateRate and delays
// reports that exceed it.
func (g *Gossip) Run(ctx context.Context) {
	limiter := rate.NewLimiter(updateRate, updateBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.cfg.Source.SuspectsPending():
		}
		for packed := g.cfg.Source.TakeSuspects(); packed != ""; packed = g.cfg.Source.TakeSuspects() {
			for _, addr := range g.cfg.RandomPeers(fanout) {
				// WaitN fails only when ctx is done.
				if limiter.WaitN(ctx, min(updateBurst, len(packed)+updateOverhead)) != nil {
					return
				}
				go g.send(addr, packed)
			}
		}
	}
}

// send sends an update to a peer. A peer that cannot be reached receives it from others or by
// its next comparison.
func (g *Gossip) send(addr, packed string) {
	c, err := g.cfg.Links.Get(addr, link.Control)
	if err == nil {
		err = c.Notify(MethodTell, Update{From: g.cfg.ID, Suspects: packed})
	}
	if err != nil {
		g.cfg.Log.Debug("news_not_told", "peer", addr, "error", err)
	}
}

// HandleUpdate handles a notification of MethodTell.
func (g *Gossip) HandleUpdate(params json.RawMessage) {
	u, err := wire.Decode[Update](MethodTell, params)
	if err != nil {
		g.cfg.Log.Debug("news_not_read", "error", err)
		return
	}
	g.cfg.Source.ReceiveSuspects(u.From, u.Suspects)
}

// Compare exchanges summaries with a random peer every period until ctx is done. Processes
// that include suspects in other messages to their peers do not need it.
func (g *Gossip) Compare(ctx context.Context, s Summarizer, period clock.Millis) {
	clock.Every(ctx, period, func() {
		for _, addr := range g.cfg.RandomPeers(1) {
			g.compare(ctx, s, addr)
		}
	})
}

func (g *Gossip) compare(ctx context.Context, s Summarizer, addr string) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout.Duration())
	defer cancel()
	c, err := g.cfg.Links.Get(addr, link.Control)
	if err != nil {
		return
	}
	sum, packed := s.Summarize(MaxRequestSuspects)
	var resp Summary
	if err := c.Call(ctx, MethodCompare, Summary{From: g.cfg.ID, Sum: sum, Suspects: packed}, &resp); err != nil {
		g.cfg.Log.Debug("compare_failed", "peer", addr, "error", err)
		return
	}
	s.ReceiveSuspects(resp.From, resp.Suspects)
}

// HandleCompare handles a call of MethodCompare. The response contains suspects only if the
// checksums differ. It fails if params cannot be decoded.
func (g *Gossip) HandleCompare(s Summarizer, params json.RawMessage) (Summary, error) {
	req, err := wire.Decode[Summary](MethodCompare, params)
	if err != nil {
		return Summary{}, err
	}
	s.ReceiveSuspects(req.From, req.Suspects)
	resp := Summary{From: g.cfg.ID}
	if resp.Sum, resp.Suspects = s.Summarize(MaxResponseSuspects); resp.Sum == req.Sum {
		resp.Suspects = ""
	}
	return resp, nil
}
