package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/silence"
	"github.com/weldfall/weldfall/engines/quarantine/gossip"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/peers/changes"
)

const (
	// askPeriod is how often a peer is asked. What one process learns reaches
	// twice as many each round.
	askPeriod clock.Millis = 400
	// askLimit is how long an answer is waited for, in time that this process had to
	// listen: one that stood still knows nothing of the other end.
	askLimit clock.Millis = 800
	// linkRest is how long a connection may be without a question: over ten rounds.
	linkRest clock.Millis = 6000
	// seedEvery is how many rounds lie between two calls of a seed at least, so that
	// groups which grew apart meet again. There are as many as entries are known if
	// these are more, so that the seeds are called no more often in a larger fleet.
	seedEvery = 15
	// loadsAsked and loadsTold are how many loads a question and an answer tell, of 9.3
	// bytes each. Few entries are asked by many, and most by nobody: what these know of
	// loads comes with the answers that they get.
	loadsAsked = 6
	loadsTold  = 24
	// methodAsk is the name of the call, and methodChanges that of the one that asks for
	// the latest changes of the list of engines.
	methodAsk     = "ask"
	methodChanges = "changes"
)

// Status is what a process knows that may be of use to others.
type Status struct {
	// Table is the version in force, zero if there is none.
	Table int64 `json:"t,omitempty"`
	// TableAge is how long ago it was last known to be the newest, and Evacuated to
	// be true.
	TableAge clock.Millis `json:"ta,omitempty"`
	// EvacuatedSum is a sum over the names of the data halls under evacuation, zero
	// if there are none. It tells whether two processes know of the same.
	EvacuatedSum uint64 `json:"ev,omitempty"`
	Loads        Loads  `json:"o,omitempty"`
	// Epoch is that of the store as the process last met it, zero if it tells none, and
	// EpochAge how long ago it was first met by anybody that is known.
	Epoch    int64        `json:"e,omitempty"`
	EpochAge clock.Millis `json:"ea,omitempty"`
	// Revision is the newest of that epoch which the process knows the store to have
	// reached.
	Revision int64 `json:"r,omitempty"`
	// ListSum stands for what the list of engines says, zero if the process does not tell,
	// and ListAge is how long ago that was last known to be so.
	ListSum uint32       `json:"l,omitempty"`
	ListAge clock.Millis `json:"la,omitempty"`
	// SuspectsComplete is true if the process knows of the requests under which engines ended
	// before all entries that started lately.
	SuspectsComplete bool `json:"rm,omitempty"`
	// SuspectSum stands for all requests that are suspected to end engines, zero if
	// there are none, and Suspects tells of some of them.
	SuspectSum uint64 `json:"qs,omitempty"`
	Suspects   string `json:"q,omitempty"`
}

// message is both question and answer.
type message struct {
	Members []Member `json:"m"`
	// Packed has more of them.
	Packed string `json:"p,omitempty"`
	Status Status `json:"k"`
}

// Host is the process that the peers help.
type Host interface {
	// LocalStatus returns what the process knows, with at most so many loads and suspects.
	LocalStatus(loads, suspects int) Status
	// ReceiveStatus takes what a peer of that id knew at the given time or later. It may be a
	// lie; only ages, loads and suspects are in it.
	ReceiveStatus(from string, k Status, at clock.Millis)
	// Stop returns the stop of the process, zero if it is not stopping.
	Stop() Stop
	// SetFleet takes what is known of the others.
	SetFleet(f Fleet)
	// SetOthers takes how this entry and the others that are known are called among
	// them; the others are sorted.
	SetOthers(self string, others []string)
	// ReceiveLoads takes the loads of a peer that asked.
	ReceiveLoads(loads []Load, at clock.Millis)
	// WantedChanges returns how the list of engines is known here if what came to it since is
	// wanted of a peer that told of the list for which sum stands.
	WantedChanges(sum uint32) (changes.Position, bool)
	// ChangesSince returns what came to the list after a place, or false if that is not known.
	ChangesSince(p changes.Position) (changes.Delta, bool)
	// ReceiveChanges takes the answer of the peer at an address that was asked at the given
	// time. It may be a lie.
	ReceiveChanges(from string, w changes.Delta, at clock.Millis)
	// BroadcastSuspects tells others of all suspects at once.
	BroadcastSuspects()
	gossip.Source
}

// Config sets up Peers.
type Config struct {
	ID string
	// Addr is where this process listens for peers.
	Addr string
	// Seeds are members to ask while none is known; they may be down.
	Seeds []string
	Host  Host
	Clock *clock.Clock
	Log   *slog.Logger
}

// Peers asks and answers other entries.
type Peers struct {
	cfg    Config
	clk    *clock.Clock
	log    *slog.Logger
	links  *link.Pool
	gossip *gossip.Gossip
	asks   *metrics.Counter
	failed *metrics.Counter
	silent *metrics.Counter

	mu      sync.Mutex
	members *Members
	// alone is what the log was last told.
	alone bool
	// differedAt is when a peer last knew other suspects than this process, zero if none
	// did.
	differedAt clock.Millis
	// spreadAt is when all suspects were last told to others at once, zero if they never
	// were.
	spreadAt clock.Millis
}

var _ link.Handler = (*Peers)(nil)

// New returns peers that are not yet running.
func New(cfg Config) *Peers {
	p := &Peers{
		cfg: cfg, clk: cfg.Clock, log: cfg.Log, members: NewMembers(Member{ID: cfg.ID, Addr: cfg.Addr}), alone: true,
		asks:   metrics.GetOrCreateCounter("weldfall_peer_asks_total"),
		failed: metrics.GetOrCreateCounter("weldfall_peer_asks_failed_total"),
		silent: metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="peer"}`),
	}
	p.links = link.NewPool(cfg.Clock, p)
	// Connections may have died while the instance was suspended.
	cfg.Clock.OnSuspend(func(clock.Millis) { p.links.CloseSilent(p.clk.Now()) })
	p.gossip = gossip.New(gossip.Config{ID: cfg.ID, Source: cfg.Host, Links: p.links, RandomPeers: p.some, Log: cfg.Log})
	return p
}

// Count returns the number of entries that are known, this one included.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Count()
}

// Run asks peers, and answers those that come in on ln, until ctx is done.
func (p *Peers) Run(ctx context.Context, ln net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := link.Serve(ctx, ln, p.clk, p, linkRest); err != nil {
			p.log.Error("peers_not_served", "error", err)
		}
	})
	wg.Go(func() { p.gossip.Run(ctx) })
	wg.Go(func() { p.askLost(ctx) })
	for n := 0; ctx.Err() == nil; n++ {
		p.ask(ctx, n)
		clock.Sleep(ctx, roundPause())
	}
	p.links.Close()
	wg.Wait()
}

// roundPause is the time between two rounds. A third of it is random, so that processes do
// not keep step.
func roundPause() clock.Millis {
	return askPeriod - askPeriod/6 + clock.Millis(rand.Int64N(int64(askPeriod/3)))
}

// askLost asks one of the members in each round that were asked in vain: where most of them
// lost power, those that are back know each other and none that went on.
func (p *Peers) askLost(ctx context.Context) {
	for clock.Sleep(ctx, roundPause()) {
		p.mu.Lock()
		addr := p.members.RandomFailed()
		p.mu.Unlock()
		if addr != "" {
			p.askAt(ctx, addr)
		}
	}
}

// target returns whom to ask in round n.
func (p *Peers) target(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Expire(p.clk.Now())
	addr := p.members.NextPeer()
	if (addr == "" || n%max(seedEvery, p.members.Count()) == 0) && len(p.cfg.Seeds) > 0 {
		if seed := p.cfg.Seeds[rand.IntN(len(p.cfg.Seeds))]; seed != p.cfg.Addr {
			addr = seed
		}
	}
	return addr
}

func (p *Peers) ask(ctx context.Context, n int) {
	addr := p.target(n)
	if addr == "" {
		return
	}
	if n%seedEvery == 0 {
		p.links.CloseSilent(p.clk.Now() - linkRest)
	}
	p.askAt(ctx, addr)
	p.tellAlone()
}

// askAt asks the peer at an address.
func (p *Peers) askAt(ctx context.Context, addr string) {
	at := p.clk.Now()
	answer, err := p.call(ctx, addr)
	if errors.Is(err, silence.ErrSilent) {
		sent := at
		at = p.clk.Now()
		if answer, err = p.call(ctx, addr); err == nil {
			p.doubt(addr, sent)
		}
	}
	if err != nil {
		p.failed.Inc()
		p.log.Debug("ask_failed", "peer", addr, "error", err)
		p.mu.Lock()
		p.members.MarkFailed(addr, p.clk.Now())
		p.mu.Unlock()
		return
	}
	p.learn(answer, at)
	p.cfg.Host.ReceiveStatus(answer.sender(), answer.Status, at)
	if !answer.Status.SuspectsComplete {
		p.remind(p.cfg.Host.LocalStatus(0, 0), answer)
	}
	p.askChanges(ctx, addr, answer.Status.ListSum)
}

// call asks addr, over the connection that is there or a new one. One that gives
// no answer is closed, so that the next call dials anew. The error is
// silence.ErrSilent if a connection was there and gave no answer in time.
func (p *Peers) call(ctx context.Context, addr string) (message, error) {
	p.asks.Inc()
	question := p.question()
	ctx, cancel := silence.New().Context(ctx, 0, askLimit)
	defer cancel()
	c, err := p.links.Get(addr, link.Control)
	if err != nil {
		return message{}, err
	}
	var answer message
	if err := c.Call(ctx, methodAsk, question, &answer); err != nil {
		c.Close()
		if errors.Is(context.Cause(ctx), silence.ErrSilent) {
			err = fmt.Errorf("%w: %w", silence.ErrSilent, err)
		}
		return message{}, err
	}
	return answer, nil
}

// askChanges asks the peer at addr, which told of the list of engines for which sum stands,
// for what came to it, if that is wanted. A peer that cannot tell costs a message.
func (p *Peers) askChanges(ctx context.Context, addr string, sum uint32) {
	place, ok := p.cfg.Host.WantedChanges(sum)
	if !ok {
		return
	}
	at := p.clk.Now()
	ctx, cancel := silence.New().Context(ctx, 0, askLimit)
	defer cancel()
	c, err := p.links.Get(addr, link.Control)
	if err != nil {
		p.log.Debug("ask_failed", "peer", addr, "error", err)
		return
	}
	var w changes.Delta
	if err := c.Call(ctx, methodChanges, place, &w); err != nil {
		p.log.Debug("ask_failed", "peer", addr, "error", err)
		return
	}
	p.cfg.Host.ReceiveChanges(addr, w, at)
}

// doubt closes the connections that were not heard since a question was sent
// that got its answer on a new connection only: where one is silent others are,
// and each would cost a round to find out.
func (p *Peers) doubt(addr string, sent clock.Millis) {
	p.silent.Inc()
	n := p.links.CloseSilent(sent)
	p.log.Warn("connection_silent", "to", "peer", "addr", addr, "silent_ms", p.clk.Now()-sent, "closed", n)
}

// message makes a message of what this process knows.
func (p *Peers) message(k Status) message {
	stop := p.cfg.Host.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.SetStop(stop)
	now := p.clk.Now()
	return message{Members: p.members.Sample(now), Packed: p.members.Pack(now), Status: k}
}

// sender is the id of the process that a message is of.
func (m message) sender() string {
	if len(m.Members) == 0 {
		return ""
	}
	return m.Members[0].ID
}

func (p *Peers) learn(m message, at clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range m.Members {
		p.members.Update(o, at)
	}
	p.members.Unpack(m.Packed, at)
}

// tellAlone logs when the last peer is lost and the first regained.
func (p *Peers) tellAlone() {
	p.mu.Lock()
	f := p.members.Fleet(p.clk.Now())
	n := f.Entries
	p.cfg.Host.SetFleet(f)
	p.cfg.Host.SetOthers(p.cfg.Addr, p.members.others())
	changed := p.alone != (n == 1)
	p.alone = n == 1
	p.mu.Unlock()
	switch {
	case changed && n == 1:
		p.log.Warn("peers_lost")
	case changed:
		p.log.Info("peers_regained", "entries", n)
	}
}

// Call implements link.Handler.
func (p *Peers) Call(_ context.Context, _ *link.Conn, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodAsk:
		return p.asked(method, params)
	case methodChanges:
		place, err := wire.Decode[changes.Position](method, params)
		if err != nil {
			return nil, err
		}
		if w, ok := p.cfg.Host.ChangesSince(place); ok {
			return w, nil
		}
		return nil, fmt.Errorf("the changes since revision %d of epoch %d are not known here", place.Revision, place.Epoch)
	}
	return nil, fmt.Errorf("unknown method %q", method)
}

// asked answers a question.
func (p *Peers) asked(method string, params json.RawMessage) (any, error) {
	question, err := wire.Decode[message](method, params)
	if err != nil {
		return nil, err
	}
	now := p.clk.Now()
	p.learn(question, now)
	p.cfg.Host.ReceiveLoads(question.Status.Loads, now)
	return p.answer(question), nil
}

// Notify implements link.Handler.
func (p *Peers) Notify(_ *link.Conn, method string, params json.RawMessage) {
	if method == gossip.MethodTell {
		p.gossip.HandleUpdate(params)
	}
}

// Frame implements link.Handler. Peers send no answers of engines.
func (p *Peers) Frame(wire.Frame) {}
