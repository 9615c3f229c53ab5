// Package fair is the queue in front of one engine. It divides the engine by
// partner, then by workspace, in tokens and in proportion to their shares; it
// is work-conserving and bounded. It is pure: nothing in it waits.
//
// The order is start-time fair queueing on two levels: each flow carries the
// virtual time at which its next request starts, and the flow that is
// furthest behind goes first (Goyal, Vin and Cheng 1996).
package fair

import (
	"container/heap"
	"container/list"

	"github.com/weldfall/weldfall/common/clock"
)

// Item is a request that waits.
type Item struct {
	// ID is unique among the waiting and running requests.
	ID        uint64
	Partner   string
	Workspace string
	// PartnerShare and WorkspaceShare are above zero.
	PartnerShare   float64
	WorkspaceShare float64
	// Cost is the estimate in tokens, at least 1.
	Cost int
}

// flow is a partner or a workspace.
type flow struct {
	name  string
	share float64
	// vtime is the virtual time at which the flow's next request starts; it
	// never goes down while the flow is active.
	vtime float64
	// base is the virtual time of the flow's own children; it never goes down.
	base float64
	// waiting is the cost in tokens of what waits in the flow.
	waiting int
	// children has the workspaces of a partner by name; nil for a workspace.
	children map[string]*flow
	active   flowHeap
	items    *list.List
	// index is the place in the parent's heap, -1 if nothing waits.
	index int
	// running is the number of popped items that are not settled; partners
	// only.
	running int
	// lastPush is when the latest item came; partners only.
	lastPush clock.Millis
}

// ActiveWindow is how long after its latest request a partner still counts as
// one that slots are kept free for.
const ActiveWindow clock.Millis = 10_000

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue struct {
	// slots is the number of requests that run at once; reserve is how many
	// of them a partner over its share leaves free for the others.
	slots, reserve int
	running        int
	root           *flow
	// limit is the most items that wait.
	limit  int
	length int
	byID   map[uint64]*list.Element
}

// New returns an empty queue in which at most limit items wait for the given
// number of slots.
func New(limit, slots int) *Queue {
	return &Queue{root: newFlow("", 1), limit: limit, slots: slots, byID: map[uint64]*list.Element{}}
}

// SetSlots changes the number of slots and how many of them are kept free for
// partners under their share. Running items stay.
func (q *Queue) SetSlots(slots, reserve int) { q.slots, q.reserve = slots, min(reserve, slots-1) }

// Slots returns the number of requests that run at once.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of popped items that are not settled.
func (q *Queue) Running() int { return q.running }

func newFlow(name string, share float64) *flow {
	return &flow{name: name, share: share, children: map[string]*flow{}, items: list.New(), index: -1}
}

// Len returns the number of items that wait.
func (q *Queue) Len() int { return q.length }

// SetLimit changes the bound; items already waiting stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Push adds an item. When the queue is full, the newest item of the workspace
// that waits for the most in proportion to its share is shed, of the partner
// for which the same holds; it may be the item itself. Shed items have not
// run and never will.
func (q *Queue) Push(it Item, now clock.Millis) (shed []Item) {
	p := q.root.child(it.Partner, it.PartnerShare)
	p.lastPush = now
	w := p.child(it.Workspace, it.WorkspaceShare)
	q.byID[it.ID] = w.items.PushBack(it)
	q.length++
	p.waiting += it.Cost
	w.waiting += it.Cost
	q.root.activate(p)
	p.activate(w)
	for q.length > q.limit {
		last := q.root.longest().longest().items.Back().Value.(Item)
		q.Remove(last.ID)
		shed = append(shed, last)
	}
	return shed
}

// Pop takes the item whose turn it is, if there is a slot for it. An engine
// cannot take a slot back, so a partner that runs more than its share leaves a
// few free while another partner is about: that one's next request need not
// wait for a long one of the first to end.
func (q *Queue) Pop(now clock.Millis) (Item, bool) {
	if q.length == 0 || q.running >= q.slots {
		return Item{}, false
	}
	p := q.root.active[0]
	if q.slots-q.running <= q.reserve {
		if p = q.nextUnderShare(now); p == nil {
			return Item{}, false
		}
	}
	w := p.active[0]
	it := w.items.Front().Value.(Item)
	q.root.charge(p, it.Cost)
	p.charge(w, it.Cost)
	p.running++
	q.running++
	q.Remove(it.ID)
	return it, true
}

// presentShares adds up the shares of the partners that are about.
func (q *Queue) presentShares(now clock.Millis) float64 {
	total := 0.0
	for _, c := range q.root.children {
		if c.index >= 0 || c.running > 0 || now-c.lastPush < ActiveWindow {
			total += c.share
		}
	}
	return total
}

// UnderShare reports whether others wait here while the partner has less than its
// share of the slots, running and waiting: its next request will be served
// before theirs, so that their waiting is no reason to turn it away.
func (q *Queue) UnderShare(partner string, share float64, now clock.Millis) bool {
	if q.length == 0 {
		return false
	}
	total, has := q.presentShares(now), 0
	if c, ok := q.root.children[partner]; ok {
		has = c.running
		for _, w := range c.children {
			has += w.items.Len()
		}
		if c.index < 0 && c.running == 0 && now-c.lastPush >= ActiveWindow {
			total += share
		}
	} else {
		total += share
	}
	return float64(has) < float64(q.slots)*share/total
}

// nextUnderShare returns the waiting partner furthest behind among those that run
// less than their share of the slots, nil if there is none.
func (q *Queue) nextUnderShare(now clock.Millis) *flow {
	total := q.presentShares(now)
	var best *flow
	for _, c := range q.root.active {
		if float64(c.running) < float64(q.slots)*c.share/total && (best == nil || c.vtime < best.vtime) {
			best = c
		}
	}
	return best
}

// Remove takes an item out that has not been popped, and reports whether it
// was waiting. After true it never runs.
func (q *Queue) Remove(id uint64) bool {
	e, ok := q.byID[id]
	if !ok {
		return false
	}
	it := e.Value.(Item)
	p := q.root.children[it.Partner]
	w := p.children[it.Workspace]
	w.items.Remove(e)
	delete(q.byID, id)
	q.length--
	p.waiting -= it.Cost
	w.waiting -= it.Cost
	p.settle(w)
	q.root.settle(p)
	return true
}

// Settle gives the slot of a popped item back and corrects its charge to the
// true cost in tokens.
func (q *Queue) Settle(it Item, cost int) {
	q.running--
	p, ok := q.root.children[it.Partner]
	if !ok {
		return
	}
	p.running--
	q.root.adjust(p, cost-it.Cost)
	if w, ok := p.children[it.Workspace]; ok {
		p.adjust(w, cost-it.Cost)
	}
}

// PruneIdle drops flows that wait for nothing and are not ahead of the others,
// so that memory follows the active workspaces.
func (q *Queue) PruneIdle(now clock.Millis) {
	for _, p := range q.root.children {
		p.forget(func(*flow) bool { return true })
	}
	q.root.forget(func(p *flow) bool { return p.running == 0 && now-p.lastPush >= ActiveWindow })
}

// Flows returns the number of partners and workspaces remembered.
func (q *Queue) Flows() int {
	n := len(q.root.children)
	for _, p := range q.root.children {
		n += len(p.children)
	}
	return n
}

func (f *flow) child(name string, share float64) *flow {
	c, ok := f.children[name]
	if !ok {
		c = newFlow(name, share)
		f.children[name] = c
	}
	c.share = share
	return c
}

// activate puts c among those that wait; one that was idle starts at the
// present and earns nothing for the time it did not ask.
func (f *flow) activate(c *flow) {
	if c.index >= 0 {
		return
	}
	if len(f.active) == 0 {
		// Nobody waits: using idle capacity is not held against a flow.
		f.base = max(f.base, c.vtime)
	}
	c.vtime = max(c.vtime, f.base)
	heap.Push(&f.active, c)
}

// settle takes c out of those that wait when it has nothing left.
func (f *flow) settle(c *flow) {
	if c.index >= 0 && c.items.Len() == 0 && len(c.active) == 0 {
		heap.Remove(&f.active, c.index)
	}
}

func (f *flow) charge(c *flow, cost int) {
	f.base = max(f.base, c.vtime)
	f.adjust(c, cost)
}

func (f *flow) adjust(c *flow, cost int) {
	c.vtime += float64(cost) / c.share
	if c.index >= 0 {
		heap.Fix(&f.active, c.index)
	}
}

// longest returns the waiting child with the most cost by its share.
func (f *flow) longest() *flow {
	var worst *flow
	for _, c := range f.active {
		if worst == nil || float64(c.waiting)/c.share > float64(worst.waiting)/worst.share {
			worst = c
		}
	}
	return worst
}

// forget drops idle children. While nobody waits, none is ahead of another.
func (f *flow) forget(may func(*flow) bool) {
	idle := len(f.active) == 0
	for name, c := range f.children {
		if c.index < 0 && (idle || c.vtime <= f.base) && len(c.children) == 0 && may(c) {
			delete(f.children, name)
		}
	}
}

// flowHeap orders flows by virtual time.
type flowHeap []*flow

var _ heap.Interface = (*flowHeap)(nil)

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].vtime < h[j].vtime }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
