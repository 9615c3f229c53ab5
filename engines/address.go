package engines

import (
	"cmp"
	"slices"
)

// settle enters an engine at its address.
func (b *Registry) settle(e *Engine) {
	e.conflicts = slices.Clone(b.byAddr[e.info.Addr])
	for _, o := range e.conflicts {
		o.conflicts = append(o.conflicts, e)
	}
	b.byAddr[e.info.Addr] = append(b.byAddr[e.info.Addr], e)
}

// leave takes an engine from its address.
func (b *Registry) leave(e *Engine) {
	isIt := func(x *Engine) bool { return x == e }
	left := slices.DeleteFunc(b.byAddr[e.info.Addr], isIt)
	b.byAddr[e.info.Addr] = left
	if len(left) == 0 {
		delete(b.byAddr, e.info.Addr)
	}
	for _, o := range e.conflicts {
		o.conflicts = slices.DeleteFunc(o.conflicts, isIt)
	}
	e.conflicts = nil
}

// AddrConflicts returns the engines that are listed with the address of another, sorted by
// id. Two are when an engine ended without a word and another got its address, or it
// started again under another id, until the entry of the first lapses.
func (b *Registry) AddrConflicts(id string) []Incarnation {
	e := b.byID[id]
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

// ousted reports whether another engine is known to have the address of this one.
func (e *Engine) ousted() bool {
	return slices.ContainsFunc(e.conflicts, func(o *Engine) bool { return o.ousts(e) })
}

// ousts reports whether an engine has the address of another rather than that one.
// Who answers there decides; until one of them has, the one that started later.
func (e *Engine) ousts(o *Engine) bool {
	switch {
	case e.denied():
		return false
	case o.denied(), e.answeredSince(o):
		return true
	case o.answeredSince(e):
		return false
	}
	return e.startedAfter(o)
}

// startedAfter reports whether an engine started after another, by what they tell or
// else by when they were first listed.
func (e *Engine) startedAfter(o *Engine) bool {
	if e.info.StartedAt != 0 && o.info.StartedAt != 0 {
		return e.info.StartedAt > o.info.StartedAt
	}
	return e.firstListedAt > o.firstListedAt
}

// denied reports whether the last word at the engine's address was that it is not
// there.
func (e *Engine) denied() bool { return e.replacedAt > e.confirmedAt }

// answeredSince reports whether an engine has answered since another was listed or
// answered.
func (e *Engine) answeredSince(o *Engine) bool { return e.confirmedAt > max(o.listedAt, o.confirmedAt) }
