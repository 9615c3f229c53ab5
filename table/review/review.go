// Package review checks a version of the published configuration before it is sent: what is
// wrong, what can never match, which values contradict each other, and what differs from the
// version in force. It does no I/O.
package review

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/weldfall/weldfall/table"
)

// Kind is the kind of a finding.
type Kind string

const (
	// Error is a value that cannot be served as it stands.
	Error Kind = "error"
	// NeverMatches is an entry that no request can reach.
	NeverMatches Kind = "never matches"
	// Contradiction is a value that another one leaves without effect.
	Contradiction Kind = "contradiction"
	// Difference is a difference from the version in force.
	Difference Kind = "differs"
)

// Finding is one result of a review.
type Finding struct {
	Kind Kind
	// Place names the entry: its kind and its name.
	Place string
	// Text says what is wrong and what to do, or what differs.
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Place, f.Text) }

// report collects findings.
type report struct{ findings []Finding }

func (r *report) add(k Kind, place, format string, args ...any) {
	r.findings = append(r.findings, Finding{Kind: k, Place: place, Text: fmt.Sprintf(format, args...)})
}

// Check returns what is wrong with a configuration, in the order of its entries.
func Check(cfg table.Config) []Finding {
	var r report
	services := r.checkServices(cfg)
	r.checkRoutes(cfg, services)
	r.checkWorkspaces(cfg)
	r.checkLimits(cfg.Limits)
	return r.findings
}

// checkServices returns the names of the services.
func (r *report) checkServices(cfg table.Config) map[string]bool {
	used := map[string]bool{}
	for _, route := range cfg.Routes {
		for _, s := range route.Shares {
			used[s.Service] = true
		}
	}
	names := map[string]bool{}
	for _, s := range cfg.Services {
		place := "service " + s.Name
		switch {
		case s.Name == "":
			r.add(Error, "service", "it has no name: name it")
		case names[s.Name]:
			r.add(Error, place, "the name is given twice, the last entry counts: rename or remove one")
		case !used[s.Name]:
			r.add(NeverMatches, place, "no route leads to it: add a route or remove it")
		}
		names[s.Name] = true
		if s.MaxConns < 0 {
			r.add(Error, place, "it allows %d connections: allow more than 0, or leave it out for no limit", s.MaxConns)
		}
		if s.Warmup > 0 && s.WarmupRate <= 0 {
			r.add(Contradiction, place, "engines warm up for %d ms and may get no requests meanwhile: publish a rate above 0", s.Warmup)
		}
		if s.Warmup == 0 && s.WarmupRate > 0 {
			r.add(Contradiction, place, "it has a warm-up rate of %v a second and no warm-up: publish its duration or leave the rate out", s.WarmupRate)
		}
	}
	return names
}

func (r *report) checkRoutes(cfg table.Config, services map[string]bool) {
	names, first := map[string]bool{}, map[[2]string]string{}
	for _, route := range cfg.Routes {
		place := "route " + route.Name
		if route.Name == "" {
			r.add(Error, "route of "+route.Host+route.Prefix, "it has no name: name it, logs and reports refer to it")
		}
		if names[route.Name] && route.Name != "" {
			r.add(Error, place, "the name is given twice: rename one")
		}
		names[route.Name] = true
		r.checkMatch(route, place, first)
		r.checkShares(route, place, services)
		r.checkTimes(route, place)
		r.checkKind(route, place)
	}
}

// checkMatch checks whether requests can reach a route. first has the first route of each
// host and prefix.
func (r *report) checkMatch(route *table.Route, place string, first map[[2]string]string) {
	host := strings.ToLower(route.Host)
	key := [2]string{host, route.Prefix}
	switch {
	case host == "":
		r.add(NeverMatches, place, "it has no host: requests are matched by the host that they name")
	case strings.Contains(host, ":") && !strings.HasSuffix(host, "]"):
		r.add(NeverMatches, place, "host %q has a port, which is removed from the host of a request: remove it here, too", route.Host)
	case strings.ContainsAny(host, "/* \t"):
		r.add(NeverMatches, place, "host %q is no host name: patterns are not known", route.Host)
	}
	switch {
	case !strings.HasPrefix(route.Prefix, "/"):
		r.add(NeverMatches, place, "prefix %q does not start with a slash, as each path does", route.Prefix)
	case strings.ContainsAny(route.Prefix, "?#"):
		r.add(NeverMatches, place, "prefix %q has a query or a fragment, which are no part of the path", route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		r.add(Contradiction, place, "prefix %q does not end with a slash, so that it also matches longer names", route.Prefix)
	}
	if earlier, ok := first[key]; ok {
		r.add(NeverMatches, place, "route %s has the same host and prefix and comes first", earlier)
		return
	}
	first[key] = route.Name
}

func (r *report) checkShares(route *table.Route, place string, services map[string]bool) {
	if len(route.Shares) == 0 {
		r.add(Error, place, "it names no service: name one")
	}
	total, seen := 0, map[string]bool{}
	for _, s := range route.Shares {
		if !services[s.Service] {
			r.add(Error, place, "service %q is not published: publish it or correct the name", s.Service)
		}
		if seen[s.Service] {
			r.add(Error, place, "service %q is given twice: add the weights up", s.Service)
		}
		seen[s.Service] = true
		if s.Weight < 0 {
			r.add(Error, place, "service %q has the weight %d: use 0 or more", s.Service, s.Weight)
		}
		total += max(0, s.Weight)
	}
	for _, s := range route.Shares {
		if s.Weight == 0 && total > 0 {
			r.add(NeverMatches, place, "service %q has the weight 0 beside others and gets nothing", s.Service)
		}
	}
	if total == 0 && len(route.Shares) > 1 {
		r.add(Contradiction, place, "all weights are 0, and the first service gets everything: weight them")
	}
}

func (r *report) checkTimes(route *table.Route, place string) {
	for _, t := range []struct {
		name  string
		value int64
	}{{"timeout", int64(route.Timeout)}, {"goal", int64(route.Goal)}, {"goal for pauses", int64(route.PauseGoal)}} {
		if t.value < 0 {
			r.add(Error, place, "its %s is %d ms: use a time above 0, or leave it out", t.name, t.value)
		}
	}
	if route.Timeout > 0 && route.Goal > route.Timeout {
		r.add(Contradiction, place, "its goal of %d ms lies beyond its timeout of %d ms", route.Goal, route.Timeout)
	}
	if route.Timeout > 0 && route.PauseGoal > route.Timeout {
		r.add(Contradiction, place, "its goal of %d ms for pauses lies beyond its timeout of %d ms", route.PauseGoal, route.Timeout)
	}
}

func (r *report) checkKind(route *table.Route, place string) {
	switch route.Kind {
	case table.Safe, table.Unsafe, table.Stream:
	default:
		r.add(Error, place, "kind %q is not known: use %s, %s or %s", route.Kind, table.Safe, table.Unsafe, table.Stream)
	}
	if route.Priority < 0 || route.Priority > maxPriority {
		r.add(Error, place, "priority %d is not from 0 (most urgent) to %d, and the nearest counts", route.Priority, maxPriority)
	}
	if route.Attempts > 1 && !route.Retryable() {
		r.add(Contradiction, place, "it allows %d attempts, and its requests run at most once: allow 1", route.Attempts)
	}
	if route.Kind != table.Stream && route.Resumable {
		r.add(Contradiction, place, "it is resumable and no stream")
	}
	if route.Kind != table.Stream && route.PauseGoal > 0 {
		r.add(Contradiction, place, "it has a goal for pauses and is no stream")
	}
}

// maxPriority is the largest priority that engines distinguish.
const maxPriority = 9

func (r *report) checkWorkspaces(cfg table.Config) {
	names, owner := map[string]bool{}, map[string]string{}
	for _, w := range cfg.Workspaces {
		place := "workspace " + w.Name
		if w.Name == "" {
			r.add(Error, "workspace", "it has no name: name it")
		}
		if names[w.Name] && w.Name != "" {
			r.add(Error, place, "the name is given twice: join the keys in one entry")
		}
		names[w.Name] = true
		if len(w.Keys) == 0 {
			r.add(NeverMatches, place, "it has no keys, so no caller belongs to it")
		}
		if w.Priority != nil && (*w.Priority < 0 || *w.Priority > maxPriority) {
			r.add(Error, place, "priority %d is not from 0 (most urgent) to %d, and the nearest counts", *w.Priority, maxPriority)
		}
		for i, k := range w.Keys {
			switch other, ok := owner[k]; {
			case k == "" || k != strings.TrimSpace(k):
				r.add(NeverMatches, place, "key %d is empty or begins or ends with a blank, which is removed from what callers send", i+1)
			case ok && other == w.Name:
				r.add(Contradiction, place, "key %d is given twice", i+1)
			case ok:
				r.add(Error, place, "key %d also belongs to workspace %s, and the last one counts: issue another", i+1, other)
			}
			owner[k] = w.Name
		}
	}
	if cfg.RequireKey && len(owner) == 0 && slices.ContainsFunc(cfg.Routes, func(r *table.Route) bool { return !r.Public }) {
		r.add(Contradiction, "workspaces", "requests need a key, and no workspace has one: every request of a route that is not public is rejected")
	}
}

func (r *report) checkLimits(l table.Limits) {
	for _, v := range []struct {
		name  string
		value int64
	}{{"size of headers", int64(l.HeaderBytes)}, {"size of bodies", l.BodyBytes}, {"time for a header", int64(l.Header)}, {"idle time", int64(l.Idle)}} {
		if v.value < 0 {
			r.add(Error, "limits", "the %s is %d: use a value above 0, or leave it out", v.name, v.value)
		}
	}
	if l.Idle > 0 && l.Header > l.Idle {
		r.add(Contradiction, "limits", "a header may take %d ms, and a connection may rest for only %d ms", l.Header, l.Idle)
	}
}

// Sorted returns the findings with errors first, then by kind, in their order otherwise.
func Sorted(in []Finding) []Finding {
	order := []Kind{Error, NeverMatches, Contradiction, Difference}
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Compare(slices.Index(order, a.Kind), slices.Index(order, b.Kind))
	})
	return out
}
