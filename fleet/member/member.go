// Package member is a process's view of the fleet: who is live, leaving or
// gone by the platform's list, by the instances' own word and by what this
// process observes. It is pure: news and the time are handed in.
package member

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// Role is what an instance does.
type Role string

const (
	Entry  Role = "entry"
	Daemon Role = "daemon"
)

// State is where an instance is in its life.
type State string

const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// EngineInfo is an engine as the list gives it.
type EngineInfo struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
}

// Instance is one process of the system, as the platform lists it.
type Instance struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Addr is host:port of its JSON-RPC listener.
	Addr    string       `json:"addr"`
	Hall    string       `json:"hall"`
	Pool    string       `json:"pool,omitempty"`
	Engines []EngineInfo `json:"engines,omitempty"`
	State   State        `json:"state"`
}

// Decode reads an instance from the list.
func Decode(id, value string) (Instance, error) {
	var in Instance
	if err := json.Unmarshal([]byte(value), &in); err != nil {
		return Instance{}, fmt.Errorf("instance %s: %w", id, err)
	}
	if in.ID != id {
		return Instance{}, fmt.Errorf("instance %s: listed under the id %q", id, in.ID)
	}
	return in, nil
}

// Flap damping: an instance that comes back again and again is held off, for
// twice as long each time, so that its chats do not move with each flap.
const (
	holdBase   clock.Millis = 2000
	holdMax    clock.Millis = 60_000
	flapMemory clock.Millis = 300_000
)

// known is what the view holds of one instance.
type known struct {
	in Instance
	// listed is false once the list has dropped the instance.
	listed bool
	// selfLeaving is true once the instance itself said that it leaves.
	selfLeaving bool
	goneAt      clock.Millis
	flaps       int
	lastFlap    clock.Millis
	heldUntil   clock.Millis
	// downUntil is when an unreachable instance may be tried again.
	downUntil clock.Millis
	failures  int
}

// View is one process's picture of the fleet. It is not safe for concurrent
// use.
type View struct {
	self  string
	byID  map[string]*known
	since clock.Millis
	// contacts are the outcomes of the latest exchanges, as a ring.
	contacts []bool
	next     int
}

// contactMemory is how many exchanges the majority is judged by.
const contactMemory = 16

// NewView returns the view of instance self, empty at now.
func NewView(self string, now clock.Millis) *View {
	return &View{self: self, byID: map[string]*known{}, since: now}
}

func (v *View) get(id string) *known {
	k := v.byID[id]
	if k == nil {
		k = &known{}
		v.byID[id] = k
	}
	return k
}

// SetListed takes an instance from the platform's list.
func (v *View) SetListed(in Instance, now clock.Millis) {
	k := v.get(in.ID)
	returned := !k.listed && k.goneAt > 0
	if returned {
		if now-k.lastFlap > flapMemory {
			k.flaps = 0
		}
		k.flaps++
		k.lastFlap = now
		if k.flaps > 1 {
			k.heldUntil = now + min(holdMax, holdBase<<min(k.flaps-2, 10))
		}
	}
	if returned || in.Addr != k.in.Addr {
		k.selfLeaving, k.failures, k.downUntil = false, 0, 0
	}
	k.in, k.listed = in, true
}

// SetUnlisted takes the news that the list no longer has an instance.
func (v *View) SetUnlisted(id string, now clock.Millis) {
	k := v.get(id)
	k.in.ID = id
	k.listed, k.goneAt = false, max(1, now)
}

// MarkLeaving takes an instance's own word that it leaves.
func (v *View) MarkLeaving(id string) bool {
	k, ok := v.byID[id]
	if !ok || k.selfLeaving || !k.listed {
		return false
	}
	k.selfLeaving = true
	return true
}

// LeavingIDs lists instances that are leaving by their own word.
func (v *View) LeavingIDs() []string {
	var out []string
	for id, k := range v.byID {
		if k.selfLeaving && k.listed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Back-off of an instance that this process cannot reach.
const (
	downBase clock.Millis = 250
	downMax  clock.Millis = 5000
)

// MarkUnreachable records that this process failed to reach the instance.
func (v *View) MarkUnreachable(id string, now clock.Millis) {
	k, ok := v.byID[id]
	if !ok {
		return
	}
	k.downUntil = now + min(downMax, downBase<<min(k.failures, 8))
	k.failures++
}

// MarkReached records that this process heard from the instance.
func (v *View) MarkReached(id string) {
	if k, ok := v.byID[id]; ok {
		k.failures, k.downUntil = 0, 0
	}
}

// RecordExchange records whether an exchange with a random peer succeeded.
func (v *View) RecordExchange(ok bool) {
	if len(v.contacts) < contactMemory {
		v.contacts = append(v.contacts, ok)
		return
	}
	v.contacts[v.next] = ok
	v.next = (v.next + 1) % contactMemory
}

// ResetExchanges forgets the contacts, after a pause: what this process knew may be
// out of date.
func (v *View) ResetExchanges() { v.contacts, v.next = v.contacts[:0], 0 }

// MajorityReachable reports whether more than half of the latest exchanges with
// random peers succeeded. A process without it may be cut off with the
// smaller part of the fleet. One that has no peers is never cut off.
func (v *View) MajorityReachable() bool {
	if len(v.Peers()) == 0 {
		return true
	}
	good := 0
	for _, ok := range v.contacts {
		if ok {
			good++
		}
	}
	return 2*good > len(v.contacts)
}

// State returns the state of an instance in this view.
func (v *View) State(id string) State {
	k, ok := v.byID[id]
	switch {
	case !ok || !k.listed:
		return Gone
	case k.selfLeaving || k.in.State == Leaving:
		return Leaving
	default:
		return Live
	}
}

// Instance returns what is known of an instance.
func (v *View) Instance(id string) (Instance, bool) {
	k, ok := v.byID[id]
	if !ok || !k.listed {
		return Instance{}, false
	}
	return k.in, true
}

// Instances returns the instances on the list, sorted by id.
func (v *View) Instances() []Instance {
	out := make([]Instance, 0, len(v.byID))
	for _, k := range v.byID {
		if k.listed {
			out = append(out, k.in)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Peers returns the other instances on the list that do not leave, sorted.
func (v *View) Peers() []Instance {
	return slices.DeleteFunc(v.Instances(), func(in Instance) bool {
		return in.ID == v.self || v.State(in.ID) == Leaving
	})
}

// Usable reports whether new work may go to the instance now: it is live, not
// held off for flapping, and not just found unreachable.
func (v *View) Usable(id string, now clock.Millis) bool {
	k, ok := v.byID[id]
	return ok && v.State(id) == Live && now >= k.heldUntil && now >= k.downUntil
}

// Candidates returns the daemons of a pool that new work may go to. When all are
// held off or unreachable, the live ones are returned, since trying is better
// than refusing.
func (v *View) Candidates(pool string, now clock.Millis) []Instance {
	var usable, live []Instance
	for _, in := range v.Instances() {
		if in.Role != Daemon || in.Pool != pool || v.State(in.ID) != Live {
			continue
		}
		live = append(live, in)
		if v.Usable(in.ID, now) {
			usable = append(usable, in)
		}
	}
	if len(usable) == 0 {
		return live
	}
	return usable
}

// GoneWithin lists the daemons that left within the window. A view younger
// than the window counts every instance it knows as gone.
func (v *View) GoneWithin(window, now clock.Millis) []string {
	var out []string
	for id, k := range v.byID {
		if !k.listed && (now-k.goneAt < window || now-v.since < window) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Prune drops instances that have been gone for longer than any window.
func (v *View) Prune(window, now clock.Millis) {
	for id, k := range v.byID {
		if !k.listed && now-k.goneAt > window && now-k.lastFlap > flapMemory {
			delete(v.byID, id)
		}
	}
}
