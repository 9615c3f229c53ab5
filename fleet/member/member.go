// Package member holds a process's view of the fleet: which instances are live, leaving
// or gone according to the platform's list, to the instances themselves and to what this
// process observes. It does no I/O; callers pass in events and times.
package member

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// Role is the kind of an instance.
type Role string

const (
	Entry  Role = "entry"
	Daemon Role = "daemon"
)

// State is the lifecycle state of an instance.
type State string

const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// EngineInfo is an engine in the list of instances.
type EngineInfo struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
}

// Instance is one process of the fleet in the platform's list.
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

// Decode decodes an instance of the list. It fails if the value is malformed or holds
// another ID.
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

// Flap damping: an instance that keeps coming back is held, for twice as long each time,
// so that its chats do not move with each flap.
const (
	minHold    clock.Millis = 2000
	maxHold    clock.Millis = 60_000
	flapWindow clock.Millis = 300_000
)

// instanceState is what the view knows of one instance.
type instanceState struct {
	in Instance
	// listed is false once the platform's list has dropped the instance.
	listed bool
	// selfLeaving is true once the instance itself reported that it is leaving.
	selfLeaving bool
	goneAt      clock.Millis
	flaps       int
	lastFlap    clock.Millis
	heldUntil   clock.Millis
	// retryAt is when an unreachable instance may be tried again.
	retryAt  clock.Millis
	failures int
}

// View is one process's view of the fleet. It is not safe for concurrent use.
type View struct {
	self      string
	byID      map[string]*instanceState
	createdAt clock.Millis
	// exchanges are the outcomes of the latest exchanges, as a ring.
	exchanges    []bool
	nextExchange int
}

// exchangeWindow is how many exchanges MajorityReachable considers.
const exchangeWindow = 16

// NewView returns the empty view of the instance self.
func NewView(self string, now clock.Millis) *View {
	return &View{self: self, byID: map[string]*instanceState{}, createdAt: now}
}

func (v *View) getOrCreate(id string) *instanceState {
	k := v.byID[id]
	if k == nil {
		k = &instanceState{}
		v.byID[id] = k
	}
	return k
}

// SetListed adds or updates an instance of the platform's list.
func (v *View) SetListed(in Instance, now clock.Millis) {
	k := v.getOrCreate(in.ID)
	returned := !k.listed && k.goneAt > 0
	if returned {
		if now-k.lastFlap > flapWindow {
			k.flaps = 0
		}
		k.flaps++
		k.lastFlap = now
		if k.flaps > 1 {
			k.heldUntil = now + min(maxHold, minHold<<min(k.flaps-2, 10))
		}
	}
	if returned || in.Addr != k.in.Addr {
		k.selfLeaving, k.failures, k.retryAt = false, 0, 0
	}
	k.in, k.listed = in, true
}

// SetUnlisted records that the platform's list dropped an instance.
func (v *View) SetUnlisted(id string, now clock.Millis) {
	k := v.getOrCreate(id)
	k.in.ID = id
	k.listed, k.goneAt = false, max(1, now)
}

// MarkLeaving records that an instance reported that it is leaving. It returns false if
// that was known or the instance is not listed.
func (v *View) MarkLeaving(id string) bool {
	k, ok := v.byID[id]
	if !ok || k.selfLeaving || !k.listed {
		return false
	}
	k.selfLeaving = true
	return true
}

// LeavingIDs returns the sorted IDs of the listed instances that reported that they are
// leaving.
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

// Backoff of an instance that this process cannot reach.
const (
	minBackoff clock.Millis = 250
	maxBackoff clock.Millis = 5000
)

// MarkUnreachable records that a call from this process to the instance failed.
func (v *View) MarkUnreachable(id string, now clock.Millis) {
	k, ok := v.byID[id]
	if !ok {
		return
	}
	k.retryAt = now + min(maxBackoff, minBackoff<<min(k.failures, 8))
	k.failures++
}

// MarkReached records that the instance responded to this process.
func (v *View) MarkReached(id string) {
	if k, ok := v.byID[id]; ok {
		k.failures, k.retryAt = 0, 0
	}
}

// RecordExchange records whether an exchange with a random peer succeeded.
func (v *View) RecordExchange(ok bool) {
	if len(v.exchanges) < exchangeWindow {
		v.exchanges = append(v.exchanges, ok)
		return
	}
	v.exchanges[v.nextExchange] = ok
	v.nextExchange = (v.nextExchange + 1) % exchangeWindow
}

// ResetExchanges drops the recorded exchanges, which may be out of date after a pause.
func (v *View) ResetExchanges() { v.exchanges, v.nextExchange = v.exchanges[:0], 0 }

// MajorityReachable reports whether more than half of the latest exchanges with random
// peers succeeded. Otherwise this process may be cut off with the smaller part of the
// fleet. A process without peers is never cut off.
func (v *View) MajorityReachable() bool {
	if len(v.Peers()) == 0 {
		return true
	}
	good := 0
	for _, ok := range v.exchanges {
		if ok {
			good++
		}
	}
	return 2*good > len(v.exchanges)
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

// Instance returns an instance of the list, or false if it is not listed.
func (v *View) Instance(id string) (Instance, bool) {
	k, ok := v.byID[id]
	if !ok || !k.listed {
		return Instance{}, false
	}
	return k.in, true
}

// Instances returns the instances of the list, sorted by ID.
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

// Peers returns the other instances of the list that are not leaving, sorted by ID.
func (v *View) Peers() []Instance {
	return slices.DeleteFunc(v.Instances(), func(in Instance) bool {
		return in.ID == v.self || v.State(in.ID) == Leaving
	})
}

// Usable reports whether new work may go to the instance now: it is live, not held for
// flapping and not backed off as unreachable.
func (v *View) Usable(id string, now clock.Millis) bool {
	k, ok := v.byID[id]
	return ok && v.State(id) == Live && now >= k.heldUntil && now >= k.retryAt
}

// Candidates returns the daemons of a pool that may get new work. If all are held or
// unreachable, it returns the live ones, since trying is better than refusing.
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

// GoneWithin returns the sorted IDs of the instances that left within the window. A view
// younger than the window counts every unlisted instance as gone.
func (v *View) GoneWithin(window, now clock.Millis) []string {
	var out []string
	for id, k := range v.byID {
		if !k.listed && (now-k.goneAt < window || now-v.createdAt < window) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Prune removes instances that have been gone for longer than the window.
func (v *View) Prune(window, now clock.Millis) {
	for id, k := range v.byID {
		if !k.listed && now-k.goneAt > window && now-k.lastFlap > flapWindow {
			delete(v.byID, id)
		}
	}
}
