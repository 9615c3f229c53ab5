// Package table holds what the operators have published about requests: the
// routes, the services behind them, the workspaces with their keys, and the
// bounds for callers. A Table is one version, whole and immutable; the process
// swaps one for the next. It is pure.
package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Kind says what may be done with a request of a route when an attempt fails.
type Kind string

const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream answers come as events. Unless the route is resumable, such a
	// request runs at most once.
	Stream Kind = "stream"
)

// Share is a service of a route and its weight among the route's services.
type Share struct {
	Service string
	Weight  int
}

// Route says which service takes the requests of a host and path.
type Route struct {
	Name string
	Host string
	// Prefix begins the path; it starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is held.
	Timeout clock.Millis
	// Goal is the time within which an answer, or the first event of one,
	// is on time.
	Goal clock.Millis
	// PauseGoal is the longest pause between events that is on time.
	PauseGoal clock.Millis
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Shares is not empty and sorted by service.
	Shares []Share
	// Attempts is the most engines that one request is sent to, at least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	// PromptAffinity requests name the parts of their prompt, which engines keep.
	PromptAffinity bool
	// Resumable streams may go on at another engine.
	Resumable bool
}

// usualGoal stands for the goal of a route that publishes none.
const usualGoal clock.Millis = 500

// GoalOrDefault returns the goal, or what stands for it where none is published.
func (r *Route) GoalOrDefault() clock.Millis { return cmp.Or(r.Goal, usualGoal) }

// Retryable reports whether a request may be sent to a second engine after
// the first may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is a group of engines that serve the same requests.
type Service struct {
	Name string
	// MaxConns is how many connections one engine takes from all callers.
	MaxConns int
	// HealthPath is where its engines say whether they are healthy, "" if that is not
	// published.
	HealthPath string
	// PrefixTransfer is true if its engines take what others keep of a prompt.
	PrefixTransfer bool
	// TransferTimePerToken is how long an engine takes to have one token of a prompt from another of
	// its data hall, in milliseconds; zero if that is not published.
	TransferTimePerToken float64
	// EventTokens is how many tokens an event of a stream holds; the last may
	// hold fewer. Zero if that is not published.
	EventTokens int
	// Warmup is how long an engine stays cold after its start, zero if none does,
	// and WarmupRate how many requests a second it bears meanwhile.
	Warmup     clock.Millis
	WarmupRate float64
}

// Workspace is a group of callers that share keys.
type Workspace struct {
	Name string
	// Keys are bearer keys.
	Keys []string
	// Priority goes before that of the route; nil if the workspace has none.
	Priority *int
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is how long a head may take to arrive.
	Header clock.Millis
	// Idle is how long a connection may rest between requests.
	Idle clock.Millis
}

// Config is what a Table is made of. Versions may share routes and workspaces, which
// nobody changes.
type Config struct {
	Version  int64
	Routes   []*Route
	Services []Service
	// RequireKey is true when requests need a key, even if no key is left.
	RequireKey bool
	Workspaces []*Workspace
	Limits     Limits
}

// Arrival tells how a version came to this process.
type Arrival struct {
	// ConfirmedAt is the latest time at which it is known to have been the newest.
	ConfirmedAt clock.Millis
	// Epoch is that of the source which the answer that brought it was of, zero if it
	// tells none.
	Epoch int64
	// ResponseStartedAt is when the answer that brought it began, zero if that is not known.
	ResponseStartedAt clock.Millis
	// Bytes is the size of that answer and Transfer how long it took.
	Bytes    int
	Transfer clock.Millis
	// DecodeMicros and BuildMicros are what it took to read the answer's text and to
	// make the Table, in microseconds.
	DecodeMicros, BuildMicros int64
}

// place is where requests come in: a host, in lower case, and a prefix of the path.
type place struct{ host, prefix string }

// Table is one version of the published routes and keys.
type Table struct {
	version int64
	// routes has the route of each place whose prefix ends with a slash, others
	// those of a host that do not, the longest prefix first.
	routes map[place]*Route
	others map[string][]*Route
	// longest is the length of the longest prefix in routes.
	longest  int
	services map[string]Service
	keyed    bool
	byKey    map[string]*Workspace
	limits   Limits
}

// New returns the table of cfg. The longest prefix of a host goes before the
// others, and the first of two routes with the same.
func New(cfg Config) *Table {
	t := &Table{
		version: cfg.Version, limits: cfg.Limits, keyed: cfg.RequireKey,
		routes: make(map[place]*Route, len(cfg.Routes)), others: map[string][]*Route{}, services: map[string]Service{}, byKey: map[string]*Workspace{},
	}
	for _, r := range cfg.Routes {
		t.add(ordered(r))
	}
	for _, routes := range t.others {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range cfg.Services {
		t.services[s.Name] = s
	}
	for _, w := range cfg.Workspaces {
		for _, k := range w.Keys {
			t.byKey[k] = w
		}
	}
	return t
}

// ordered returns the route with its host in lower case and its shares sorted: the
// route itself if they are.
func ordered(r *Route) *Route {
	host := strings.ToLower(r.Host)
	byService := func(a, b Share) int { return cmp.Compare(a.Service, b.Service) }
	if host == r.Host && slices.IsSortedFunc(r.Shares, byService) {
		return r
	}
	c := *r
	c.Host, c.Shares = host, slices.Clone(r.Shares)
	slices.SortFunc(c.Shares, byService)
	return &c
}

func (t *Table) add(r *Route) {
	if !strings.HasSuffix(r.Prefix, "/") {
		t.others[r.Host] = append(t.others[r.Host], r)
		return
	}
	p := place{r.Host, r.Prefix}
	if t.routes[p] == nil {
		t.routes[p] = r
		t.longest = max(t.longest, len(r.Prefix))
	}
}

// Version returns the version that the operators gave.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds for callers.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKey reports whether requests need a key, but on public routes.
func (t *Table) RequiresKey() bool { return t.keyed }

// Route returns the route of a host, with or without a port, and a path, or
// false if there is none.
func (t *Table) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.ToLower(host)
	best := t.slashed(host, path)
	for _, r := range t.others[host] {
		if strings.HasPrefix(path, r.Prefix) {
			if best == nil || len(r.Prefix) > len(best.Prefix) {
				best = r
			}
			break
		}
	}
	return best, best != nil
}

// slashed returns the route whose prefix is the longest that begins the path and
// ends with a slash, nil if there is none. It looks up a prefix for each slash that
// may end one, so it takes as long among a hundred thousand routes as among four.
func (t *Table) slashed(host, path string) *Route {
	path = path[:min(len(path), t.longest)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[place{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or false.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Service returns a service by name, or false.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService chooses one of the route's services by weight. Every process gives
// equal keys the same service.
func (r *Route) PickService(key string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	n := int(xxh3.HashString(key) % uint64(total))
	for _, s := range r.Shares {
		n -= max(0, s.Weight)
		if n < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
