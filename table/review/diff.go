package review

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/weldfall/weldfall/table"
)

// Compare returns what differs in next from the version in force, sorted by place. Keys
// are counted and not shown.
func Compare(inForce, next table.Config) []Finding {
	var r report
	if next.Version <= inForce.Version {
		r.add(Error, "version", "version %d is not above %d, which is in force: entries ignore it", next.Version, inForce.Version)
	}
	if inForce.RequireKey != next.RequireKey {
		r.add(Difference, "workspaces", "requests need a key: %t, was %t", next.RequireKey, inForce.RequireKey)
	}
	compareEntries(&r, "route", byName(inForce.Routes, func(x *table.Route) (string, table.Route) { return x.Name, *x }),
		byName(next.Routes, func(x *table.Route) (string, table.Route) { return x.Name, *x }))
	compareEntries(&r, "service", byName(inForce.Services, func(x table.Service) (string, table.Service) { return x.Name, x }),
		byName(next.Services, func(x table.Service) (string, table.Service) { return x.Name, x }))
	compareWorkspaces(&r, inForce.Workspaces, next.Workspaces)
	for _, change := range changedFields(inForce.Limits, next.Limits) {
		r.add(Difference, "limits", "%s", change)
	}
	return r.findings
}

func byName[E, T any](in []E, entry func(E) (string, T)) map[string]T {
	out := make(map[string]T, len(in))
	for _, e := range in {
		name, v := entry(e)
		out[name] = v
	}
	return out
}

// names returns the names in either map, sorted.
func names[T any](a, b map[string]T) []string {
	all := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, ok := a[name]; !ok {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

func compareEntries[T any](r *report, kind string, old, next map[string]T) {
	for _, name := range names(old, next) {
		place := kind + " " + name
		a, was := old[name]
		b, is := next[name]
		switch {
		case !was:
			r.add(Difference, place, "added")
		case !is:
			r.add(Difference, place, "removed")
		default:
			for _, change := range changedFields(a, b) {
				r.add(Difference, place, "%s", change)
			}
		}
	}
}

// changedFields describes the fields of two structs that differ.
func changedFields(a, b any) []string {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	var out []string
	for i := range x.NumField() {
		if old, next := x.Field(i).Interface(), y.Field(i).Interface(); !reflect.DeepEqual(old, next) {
			out = append(out, fmt.Sprintf("%s: %v, was %v", x.Type().Field(i).Name, next, old))
		}
	}
	return out
}

func compareWorkspaces(r *report, old, next []*table.Workspace) {
	entry := func(w *table.Workspace) (string, *table.Workspace) { return w.Name, w }
	before, after := byName(old, entry), byName(next, entry)
	for _, name := range names(before, after) {
		place := "workspace " + name
		a, b := before[name], after[name]
		switch {
		case a == nil:
			r.add(Difference, place, "added with %d keys", len(b.Keys))
			continue
		case b == nil:
			r.add(Difference, place, "removed: its %d keys are rejected", len(a.Keys))
			continue
		}
		if added, removed := missing(b.Keys, a.Keys), missing(a.Keys, b.Keys); added+removed > 0 {
			r.add(Difference, place, "%s", strings.Join(slices.DeleteFunc([]string{counted(added, "added"), counted(removed, "removed and rejected from then on")}, func(s string) bool { return s == "" }), ", "))
		}
		if p, q := priorityText(a.Priority), priorityText(b.Priority); p != q {
			r.add(Difference, place, "Priority: %s, was %s", q, p)
		}
	}
}

// missing returns how many of the keys in a are not in b.
func missing(a, b []string) int {
	n := 0
	for _, k := range a {
		if !slices.Contains(b, k) {
			n++
		}
	}
	return n
}

func counted(n int, what string) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%d %s %s", n, cmp.Or(map[int]string{1: "key"}[n], "keys"), what)
}

func priorityText(p *int) string {
	if p == nil {
		return "that of the route"
	}
	return fmt.Sprint(*p)
}
