// Package table holds the published configuration of request handling: routes,
// services, workspaces with their keys, and limits for callers. A Table is one
// complete, immutable version, which the process replaces as a whole. The package
// does no I/O and reads no clock.
package table

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Kind determines what may be done with a request when an attempt fails.
type Kind string

const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a stream of events. They run at most
	// once, unless the route is resumable.
	Stream Kind = "stream"
)

// Share is a service of a route and its weight among the route's services.
type Share struct {
	Service string
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the leading part of the path. It starts with a slash and usually ends
	// with one.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time for a request.
	Timeout clock.Millis
	// Goal is the latency objective: the time to the response, or to its first
	// event.
	Goal clock.Millis
	// PauseGoal is the objective for the longest pause between events.
	PauseGoal clock.Millis
	// Priority of the route; 0 is the most urgent.
	Priority int
	// Shares is not empty and sorted by service.
	Shares []Share
	// Attempts is the maximum number of engines that a request is sent to, at least 1.
	Attempts int
	// Public routes need no key.
	Public bool
	// PromptAffinity is true if requests name the parts of their prompt, so that they can
	// go to an engine that has it cached.
	PromptAffinity bool
	// Resumable streams may continue at another engine.
	Resumable bool
}

// defaultGoal is the goal of a route that publishes none.
const defaultGoal clock.Millis = 500

// GoalOrDefault returns the goal, or the default if none is published.
func (r *Route) GoalOrDefault() clock.Millis { return cmp.Or(r.Goal, defaultGoal) }

// Retryable reports whether a request may be sent to a second engine after
// the first may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is a group of engines that serve the same requests.
type Service struct {
	Name string
	// MaxConns limits the connections of all callers to one engine.
	MaxConns int
	// HealthPath is the path of the engines' health check, "" if none is published.
	HealthPath string
	// PrefixTransfer is true if its engines can fetch cached prefixes from each other.
	PrefixTransfer bool
	// TransferTimePerToken is how long an engine takes to fetch one token of a cached
	// prefix from another in its data hall, in milliseconds; zero if not published.
	TransferTimePerToken float64
	// EventTokens is the number of tokens in an event of a stream; the last may
	// have fewer. Zero if not published.
	EventTokens int
	// Warmup is how long an engine is slow after its start, zero if not at all, and
	// WarmupRate how many requests per second it can handle meanwhile.
	Warmup     clock.Millis
	WarmupRate float64
}

// Workspace is a group of callers that share bearer keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of the route; nil if the workspace has none.
	Priority *int
}

// DefaultTimeout applies to routes that publish no timeout.
const DefaultTimeout clock.Millis = 600_000

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header is the timeout for reading the head of a request.
	Header clock.Millis
	// Idle is how long a connection may be idle between requests.
	Idle clock.Millis
}

// Config is the content of a Table. Versions may share routes and workspaces, which are
// immutable.
type Config struct {
	Version  int64
	Routes   []*Route
	Services []Service
	// RequireKey is true if requests need a key, even if no workspace has one.
	RequireKey bool
	Workspaces []*Workspace
	Limits     Limits
}

// Arrival describes how a version reached this process.
type Arrival struct {
	// ConfirmedAt is the latest time at which the version is known to have been the newest.
	ConfirmedAt clock.Millis
	// Unconfirmed is true if its arrival does not show that it ever was the newest. ConfirmedAt
	// means nothing then.
	Unconfirmed bool
	// Epoch is the epoch of the source in the response, zero if the source reports none.
	Epoch int64
	// Revision is the revision of the source at which the version was published, and Reach the
	// one up to which the response has everything that was published. They are zero if not known.
	Revision, Reach int64
	// ResponseStartedAt is when the response began, zero if not known.
	ResponseStartedAt clock.Millis
	// Bytes is the size of the response and Transfer how long it took.
	Bytes    int
	Transfer clock.Millis
	// DecodeMicros and BuildMicros are the times to decode the response and to build the
	// Table, in microseconds.
	DecodeMicros, BuildMicros int64
}

// routeKey is a host, in lower case, and a prefix of the path.
type routeKey struct{ host, prefix string }

// Table is one version of the published routes and keys.
type Table struct {
	version int64
	// slashRoutes has the routes whose prefix ends with a slash; otherRoutes has the
	// others of each host, the longest prefix first.
	slashRoutes map[routeKey]*Route
	otherRoutes map[string][]*Route
	// maxPrefix is the length of the longest prefix in slashRoutes.
	maxPrefix int
	services  map[string]Service
	// streamTimeouts has the longest timeout of the resumable streams of each service.
	streamTimeouts map[string]clock.Millis
	// priorities has the distinct priorities of the routes of each service, most urgent
	// first.
	priorities map[string][]int
	keyed      bool
	byKey      map[string]*Workspace
	limits     Limits
}

// New returns the table of cfg. The longest matching prefix of a host wins; of two
// routes with the same prefix, the first does.
func New(cfg Config) *Table {
	t := &Table{
		version: cfg.Version, limits: cfg.Limits, keyed: cfg.RequireKey,
		slashRoutes: make(map[routeKey]*Route, len(cfg.Routes)), otherRoutes: map[string][]*Route{}, services: map[string]Service{}, streamTimeouts: map[string]clock.Millis{}, priorities: map[string][]int{}, byKey: map[string]*Workspace{},
	}
	for _, r := range cfg.Routes {
		t.addRoute(normalized(r))
		t.addPriority(r)
		if r.Kind != Stream || !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			t.streamTimeouts[s.Service] = max(t.streamTimeouts[s.Service], cmp.Or(r.Timeout, DefaultTimeout))
		}
	}
	for _, routes := range t.otherRoutes {
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

// normalized returns the route with its host in lower case and its shares sorted: r
// itself if they already are.
func normalized(r *Route) *Route {
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

func (t *Table) addRoute(r *Route) {
	if !strings.HasSuffix(r.Prefix, "/") {
		t.otherRoutes[r.Host] = append(t.otherRoutes[r.Host], r)
		return
	}
	k := routeKey{r.Host, r.Prefix}
	if t.slashRoutes[k] == nil {
		t.slashRoutes[k] = r
		t.maxPrefix = max(t.maxPrefix, len(r.Prefix))
	}
}

// addPriority adds the priority of a route to those of its services.
func (t *Table) addPriority(r *Route) {
	for _, s := range r.Shares {
		known := t.priorities[s.Service]
		if i, ok := slices.BinarySearch(known, r.Priority); !ok {
			t.priorities[s.Service] = slices.Insert(known, i, r.Priority)
		}
	}
}

// Priorities returns the distinct priorities of the routes of a service, most urgent
// first. The caller must not modify them.
func (t *Table) Priorities(service string) []int { return t.priorities[service] }

// Version returns the number that the operators gave the version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKey reports whether requests need a key, except on public routes.
func (t *Table) RequiresKey() bool { return t.keyed }

// Route returns the route of a host, with or without a port, and a path, or
// false if there is none.
func (t *Table) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.ToLower(host)
	best := t.longestSlashPrefix(host, path)
	for _, r := range t.otherRoutes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			if best == nil || len(r.Prefix) > len(best.Prefix) {
				best = r
			}
			break
		}
	}
	return best, best != nil
}

// longestSlashPrefix returns the route with the longest matching prefix that ends with a
// slash, nil if there is none. It looks up one prefix per slash in the path, so it takes
// as long with a hundred thousand routes as with four.
func (t *Table) longestSlashPrefix(host, path string) *Route {
	path = path[:min(len(path), t.maxPrefix)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.slashRoutes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of a bearer key, or false.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Service returns a service by name, or false.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ResumableStreams returns the routes of streams that may be resumed.
func (t *Table) ResumableStreams() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, r := range t.slashRoutes {
			if r.Kind == Stream && r.Resumable && !yield(r) {
				return
			}
		}
		for _, routes := range t.otherRoutes {
			for _, r := range routes {
				if r.Kind == Stream && r.Resumable && !yield(r) {
					return
				}
			}
		}
	}
}

// StreamTimeout returns the longest timeout of the resumable streams of a service, zero if
// it has none.
func (t *Table) StreamTimeout(service string) clock.Millis { return t.streamTimeouts[service] }

// StreamTimeouts returns the longest timeout of the resumable streams of each service that has
// any.
func (t *Table) StreamTimeouts() iter.Seq2[string, clock.Millis] { return maps.All(t.streamTimeouts) }

// PickService chooses one of the route's services by weight. All processes choose the
// same service for the same key.
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
