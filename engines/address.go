package engines

import (
	"cmp"
	"slices"
)

// indexAddr adds an engine to the address index and links it to the other engines
// listed with the same address.
func (r *Registry) indexAddr(e *Engine) {
	e.conflicts = slices.Clone(r.byAddr[e.info.Addr])
	for _, o := range e.conflicts {
		o.conflicts = append(o.conflicts, e)
	}
	r.byAddr[e.info.Addr] = append(r.byAddr[e.info.Addr], e)
}

// unindexAddr undoes indexAddr.
func (r *Registry) unindexAddr(e *Engine) {
	same := func(x *Engine) bool { return x == e }
	rest := slices.DeleteFunc(r.byAddr[e.info.Addr], same)
	r.byAddr[e.info.Addr] = rest
	if len(rest) == 0 {
		delete(r.byAddr, e.info.Addr)
	}
	for _, o := range e.conflicts {
		o.conflicts = slices.DeleteFunc(o.conflicts, same)
	}
	e.conflicts = nil
}

// AddrConflicts returns the other engines listed with the address of the given one,
// sorted by ID. Two engines share an address when one crashed and another got its
// address, or when it restarted under another ID, until the first entry expires.
func (r *Registry) AddrConflicts(id string) []Incarnation {
	e := r.byID[id]
	if e == nil {
		return nil
	}
	var out []Incarnation
	for _, o := range e.conflicts {
		out = append(out, o.info.Incarnation())
	}
	slices.SortFunc(out, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// displaced reports whether another engine is known to own the address of e.
func (e *Engine) displaced() bool {
	return slices.ContainsFunc(e.conflicts, func(o *Engine) bool { return o.displaces(e) })
}

// displaces reports whether e, rather than o, owns the address that both are listed
// with: the one that responds there, or the one that started later as long as neither
// has responded.
func (e *Engine) displaces(o *Engine) bool {
	switch {
	case e.replaced():
		return false
	case o.replaced(), e.respondedSince(o):
		return true
	case o.respondedSince(e):
		return false
	}
	return e.startedAfter(o)
}

// startedAfter reports whether e started after o. It compares the start times, or the
// times of the first listing if a start time is not known.
func (e *Engine) startedAfter(o *Engine) bool {
	if e.info.StartedAt != 0 && o.info.StartedAt != 0 {
		return e.info.StartedAt > o.info.StartedAt
	}
	return e.firstListedAt > o.firstListedAt
}

// replaced reports whether the latest response at the address of e came from another
// engine.
func (e *Engine) replaced() bool { return e.replacedAt > e.confirmedAt }

// respondedSince reports whether e has responded after o was listed and last responded.
func (e *Engine) respondedSince(o *Engine) bool {
	return e.confirmedAt > max(o.listedAt, o.confirmedAt)
}
