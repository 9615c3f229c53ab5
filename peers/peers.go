package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/silence"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/engines/origin/exchange"
	"github.com/weldfall/weldfall/engines/quarantine/gossip"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/peers/changes"
)

const (
	// exchangePeriod is the average time between two calls to peers. Information reaches
	// twice as many processes in each round.
	exchangePeriod clock.Millis = 400
	// responseTimeout is how long to wait for a response, not counting time in which this
	// process did not run: a process that was stalled cannot judge the other end.
	responseTimeout clock.Millis = 800
	// idleTimeout is how long a connection may go without a request, over ten rounds.
	idleTimeout clock.Millis = 6000
	// minSeedRounds is the least number of rounds between two calls to a seed, which
	// reunite groups that lost sight of each other. In a fleet with more entries than
	// that, the number of entries is used, so that seeds are called no more often in a
	// larger fleet.
	minSeedRounds = 15
	// requestLoads and responseLoads limit the loads in a request and in a response, of
	// 9.3 bytes each. Many entries call the same few and most are called by none, so most
	// learn the loads from the responses that they receive.
	requestLoads  = 6
	responseLoads = 24
	// methodAsk is the method that exchanges states, methodChanges the one that requests
	// the latest changes of the engine list.
	methodAsk     = "ask"
	methodChanges = "changes"
)

// Status is what a process reports to its peers.
type Status struct {
	// Table is the version in force, zero if there is none.
	Table int64 `json:"t,omitempty"`
	// TableAge is the time since Table was last confirmed to be the newest version and
	// EvacuatedSum to be right.
	TableAge clock.Millis `json:"ta,omitempty"`
	// EvacuatedSum is a checksum of the names of the data halls under evacuation, zero if
	// there are none.
	EvacuatedSum uint64 `json:"ev,omitempty"`
	Loads        Loads  `json:"o,omitempty"`
	// Epoch is the store's epoch as last seen by the process, zero to report none.
	// EpochAge is the time since any known process first saw it.
	Epoch    int64        `json:"e,omitempty"`
	EpochAge clock.Millis `json:"ea,omitempty"`
	// Revision is the latest revision in that epoch which the store is known to have
	// reached.
	Revision int64 `json:"r,omitempty"`
	// ListSum is the checksum of the engine list, zero to report none. ListAge is the
	// time since the list was last confirmed to have it.
	ListSum uint32       `json:"l,omitempty"`
	ListAge clock.Millis `json:"la,omitempty"`
	// SuspectsComplete is true if the process also knows the requests that crashed
	// engines before the recent starts of other entries.
	SuspectsComplete bool `json:"rm,omitempty"`
	// SuspectSum is the checksum of all requests that are suspected to crash engines,
	// zero if there are none. Suspects holds some of them, packed.
	SuspectSum uint64 `json:"qs,omitempty"`
	Suspects   string `json:"q,omitempty"`
	// Usage holds the use of services by workspaces above their fair parts, packed.
	Usage string `json:"w,omitempty"`
}

// message is both request and response.
type message struct {
	Members []Member `json:"m"`
	// Packed holds further members.
	Packed string `json:"p,omitempty"`
	Status Status `json:"k"`
}

// Host is the process that takes part in the exchange.
type Host interface {
	// LocalStatus returns the status of the process, with at most the given numbers of
	// loads and suspects.
	LocalStatus(loads, suspects int) Status
	// ReceiveStatus handles the status of the peer named from, which was valid at the
	// given time or later. A peer may be wrong or lie; only ages, loads, suspects and usage
	// may be taken from it.
	ReceiveStatus(from string, st Status, at clock.Millis)
	// Stop returns the planned stop of the process, zero if it is not stopping.
	Stop() Stop
	// SetFleet receives a summary of the known entries.
	SetFleet(f Fleet)
	// SetOthers receives the address of this entry and the sorted addresses of the other
	// known entries.
	SetOthers(self string, others []string)
	// ReceiveLoads handles the loads in a peer's request.
	ReceiveLoads(loads []Load, at clock.Millis)
	// ReceiveUsage handles the usage in the request of the peer named from.
	ReceiveUsage(from, usage string, at clock.Millis)
	// WantedChanges returns the position of the local engine list if later changes are
	// wanted from a peer whose list has the checksum sum.
	WantedChanges(sum uint32) (changes.Position, bool)
	// ChangesSince returns the changes of the engine list after p, or false if they are
	// not known.
	ChangesSince(p changes.Position) (changes.Delta, bool)
	// ReceiveChanges handles the delta that the peer at an address returned to a request
	// sent at the given time. It may be false.
	ReceiveChanges(from string, d changes.Delta, at clock.Millis)
	// BroadcastSuspects sends all suspects to other entries at once.
	BroadcastSuspects()
	gossip.Source
	origin.Host
}

// Config configures Peers.
type Config struct {
	ID string
	// Addr is the address on which this process listens for peers.
	Addr string
	// Seeds are the addresses to call while no member is known, and now and then after.
	// They may be down.
	Seeds []string
	Host  Host
	Clock *clock.Clock
	Log   *slog.Logger
}

// Peers calls other entries and answers their calls.
type Peers struct {
	cfg Config
	// seeds are the seeds without the address of this process.
	seeds       []string
	clk         *clock.Clock
	log         *slog.Logger
	links       *link.Pool
	gossip      *gossip.Gossip
	origins     *exchange.Exchange
	requests    *metrics.Counter
	failures    *metrics.Counter
	silentConns *metrics.Counter

	mu      sync.Mutex
	members *Members
	// loggedAlone is whether the last log entry reported that all peers were lost.
	loggedAlone bool
	// suspectsDifferedAt is when a peer last had other suspects than this process, zero
	// if none did.
	suspectsDifferedAt clock.Millis
	// broadcastAt is when all suspects were last broadcast, zero if they never were.
	broadcastAt clock.Millis
}

var _ link.Handler = (*Peers)(nil)

// New returns Peers that are not running yet.
func New(cfg Config) *Peers {
	seeds := slices.DeleteFunc(slices.Clone(cfg.Seeds), func(addr string) bool { return addr == cfg.Addr })
	p := &Peers{
		cfg: cfg, seeds: seeds, clk: cfg.Clock, log: cfg.Log, members: NewMembers(Member{ID: cfg.ID, Addr: cfg.Addr}), loggedAlone: true,
		requests:    metrics.GetOrCreateCounter("weldfall_peer_asks_total"),
		failures:    metrics.GetOrCreateCounter("weldfall_peer_asks_failed_total"),
		silentConns: metrics.GetOrCreateCounter(`weldfall_silent_connections_total{to="peer"}`),
	}
	p.links = link.NewPool(cfg.Clock, p)
	// Connections may have died while the instance was suspended.
	cfg.Clock.OnSuspend(func(clock.Millis) { p.links.CloseSilent(p.clk.Now()) })
	p.gossip = gossip.New(gossip.Config{ID: cfg.ID, Source: cfg.Host, Links: p.links, RandomPeers: p.randomPeers, Log: cfg.Log})
	p.origins = exchange.New(exchange.Config{Host: cfg.Host, Links: p.links, Holders: p.holders, Clock: cfg.Clock, Log: cfg.Log})
	cfg.Host.SetOriginPeers(p.origins)
	return p
}

// Count returns the number of known entries, this one included.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Count()
}

// Run calls peers and serves their calls on ln until ctx is done.
func (p *Peers) Run(ctx context.Context, ln net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() { link.Serve(ctx, ln, p.clk, p.log, p, idleTimeout) })
	wg.Go(func() { p.gossip.Run(ctx) })
	wg.Go(func() { p.retryFailed(ctx) })
	for n := 0; ctx.Err() == nil; n++ {
		p.runRound(ctx, n)
		clock.Sleep(ctx, randomPause())
	}
	p.links.Close()
	wg.Wait()
}

// randomPause returns the time until the next round. A third of it is random, so that
// processes do not synchronize.
func randomPause() clock.Millis {
	return exchangePeriod - exchangePeriod/6 + clock.Millis(rand.Int64N(int64(exchangePeriod/3)))
}

// retryFailed calls a random member whose last call failed in each round. Without it,
// after most entries lost power, those that restart would know only each other and none
// of the entries that kept running.
func (p *Peers) retryFailed(ctx context.Context) {
	for clock.Sleep(ctx, randomPause()) {
		p.mu.Lock()
		addr := p.members.RandomFailed()
		p.mu.Unlock()
		if addr != "" {
			p.exchange(ctx, addr)
		}
	}
}

// nextAddr returns the address to call in round n, or "" if there is none.
func (p *Peers) nextAddr(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Expire(p.clk.Now())
	addr := p.members.NextPeer()
	if (addr == "" || n%max(minSeedRounds, p.members.Count()) == 0) && len(p.seeds) > 0 {
		addr = p.seeds[rand.IntN(len(p.seeds))]
	}
	return addr
}

// runRound calls one peer.
func (p *Peers) runRound(ctx context.Context, n int) {
	addr := p.nextAddr(n)
	if addr == "" {
		return
	}
	if n%minSeedRounds == 0 {
		p.links.CloseSilent(p.clk.Now() - idleTimeout)
	}
	p.exchange(ctx, addr)
	p.publishFleet()
}

// exchange exchanges states with the peer at addr. If an existing connection turns out to
// be silent, it retries once on a new one.
func (p *Peers) exchange(ctx context.Context, addr string) {
	at := p.clk.Now()
	res, err := p.call(ctx, addr)
	if errors.Is(err, silence.ErrSilent) {
		sent := at
		at = p.clk.Now()
		if res, err = p.call(ctx, addr); err == nil {
			p.closeSilent(addr, sent)
		}
	}
	if err != nil {
		p.failures.Inc()
		p.log.Debug("ask_failed", "peer", addr, "error", err)
		p.mu.Lock()
		p.members.MarkFailed(addr, p.clk.Now())
		p.mu.Unlock()
		return
	}
	p.updateMembers(res, at)
	p.cfg.Host.ReceiveStatus(res.sender(), res.Status, at)
	if !res.Status.SuspectsComplete {
		p.maybeBroadcast(p.cfg.Host.LocalStatus(0, 0), res)
	}
	p.fetchChanges(ctx, addr, res.Status.ListSum)
}

// call sends a request to addr over the existing connection or a new one, and closes the
// connection on failure, so that the next call dials again. The error is
// silence.ErrSilent if the connection was open but no response arrived in time.
func (p *Peers) call(ctx context.Context, addr string) (message, error) {
	p.requests.Inc()
	req := p.request()
	ctx, cancel := silence.New().Context(ctx, 0, responseTimeout)
	defer cancel()
	c, err := p.links.Get(addr, link.Control)
	if err != nil {
		return message{}, err
	}
	var res message
	if err := c.Call(ctx, methodAsk, req, &res); err != nil {
		c.Close()
		if errors.Is(context.Cause(ctx), silence.ErrSilent) {
			err = fmt.Errorf("%w: %w", silence.ErrSilent, err)
		}
		return message{}, err
	}
	return res, nil
}

// fetchChanges requests changes of the engine list from the peer at addr, whose list has
// the checksum sum, if the host wants them. A peer that does not have them answers with
// an error, which costs one message.
func (p *Peers) fetchChanges(ctx context.Context, addr string, sum uint32) {
	pos, ok := p.cfg.Host.WantedChanges(sum)
	if !ok {
		return
	}
	at := p.clk.Now()
	ctx, cancel := silence.New().Context(ctx, 0, responseTimeout)
	defer cancel()
	c, err := p.links.Get(addr, link.Control)
	if err != nil {
		p.log.Debug("ask_failed", "peer", addr, "error", err)
		return
	}
	var d changes.Delta
	if err := c.Call(ctx, methodChanges, pos, &d); err != nil {
		p.log.Debug("ask_failed", "peer", addr, "error", err)
		return
	}
	p.cfg.Host.ReceiveChanges(addr, d, at)
}

// closeSilent closes all connections without received data since sent, the time of a
// request that was answered only over a new connection. When one connection is silent
// others are too, and each would cost a round to detect.
func (p *Peers) closeSilent(addr string, sent clock.Millis) {
	p.silentConns.Inc()
	n := p.links.CloseSilent(sent)
	p.log.Warn("connection_silent", "to", "peer", "addr", addr, "silent_ms", p.clk.Now()-sent, "closed", n)
}

// newMessage returns a message with the status st and some members.
func (p *Peers) newMessage(st Status) message {
	stop := p.cfg.Host.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.SetStop(stop)
	now := p.clk.Now()
	return message{Members: p.members.Sample(now), Packed: p.members.Pack(now), Status: st}
}

// sender returns the ID of the process that sent the message, or "".
func (m message) sender() string {
	if len(m.Members) == 0 {
		return ""
	}
	return m.Members[0].ID
}

func (p *Peers) updateMembers(m message, at clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range m.Members {
		p.members.Update(o, at)
	}
	p.members.Unpack(m.Packed, at)
}

// publishFleet passes the known entries to the host, and logs when the last peer is lost
// and the first one found again.
func (p *Peers) publishFleet() {
	p.mu.Lock()
	f := p.members.Fleet(p.clk.Now())
	n := f.Entries
	p.cfg.Host.SetFleet(f)
	p.cfg.Host.SetOthers(p.cfg.Addr, p.members.others())
	changed := p.loggedAlone != (n == 1)
	p.loggedAlone = n == 1
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
		return p.handleRequest(method, params)
	case methodChanges:
		pos, err := wire.Decode[changes.Position](method, params)
		if err != nil {
			return nil, err
		}
		if d, ok := p.cfg.Host.ChangesSince(pos); ok {
			return d, nil
		}
		return nil, fmt.Errorf("no changes since revision %d of epoch %d: position is outside the change log", pos.Revision, pos.Epoch)
	case exchange.MethodStore:
		return nil, p.origins.HandleStore(params)
	case exchange.MethodFind:
		return p.origins.HandleFind(params)
	}
	return nil, fmt.Errorf("unknown method %q", method)
}

// handleRequest applies a peer's request and returns the response.
func (p *Peers) handleRequest(method string, params json.RawMessage) (any, error) {
	req, err := wire.Decode[message](method, params)
	if err != nil {
		return nil, err
	}
	now := p.clk.Now()
	p.updateMembers(req, now)
	p.cfg.Host.ReceiveLoads(req.Status.Loads, now)
	p.cfg.Host.ReceiveUsage(req.sender(), req.Status.Usage, now)
	return p.response(req), nil
}

// Notify implements link.Handler.
func (p *Peers) Notify(_ *link.Conn, method string, params json.RawMessage) {
	if method == gossip.MethodTell {
		p.gossip.HandleUpdate(params)
	}
}

// Frame implements link.Handler. Peers send no frames.
func (p *Peers) Frame(wire.Frame) {}
