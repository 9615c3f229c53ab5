// Package fair is a bounded, work-conserving queue in front of an engine. It divides the
// engine's capacity, in tokens, among partners in proportion to their shares, and the part
// of a partner among its workspaces. No function blocks.
//
// The order is start-time fair queueing on two levels: each flow has the virtual time at
// which its next request starts, and the flow with the lowest one is served first (Goyal,
// Vin and Cheng 1996).
package fair

import (
	"container/heap"
	"container/list"

	"github.com/weldfall/weldfall/common/clock"
)

// Item is a queued request.
type Item struct {
	// ID is unique among the waiting and running requests.
	ID        uint64
	Partner   string
	Workspace string
	// PartnerShare and WorkspaceShare are positive.
	PartnerShare   float64
	WorkspaceShare float64
	// Cost is the estimated cost in tokens, at least 1.
	Cost int
}

// flow is a partner or a workspace.
type flow struct {
	name  string
	share float64
	// vtime is the virtual time at which the flow's next request starts. While the flow
	// waits, only the correction in Settle may decrease it.
	vtime float64
	// base is the virtual time of the flow's children. It never decreases.
	base float64
	// waiting is the total cost in tokens of the items that wait.
	waiting int
	// children has the workspaces of a partner by name.
	children map[string]*flow
	active   flowHeap
	items    *list.List
	// index is the position in the parent's heap, or -1 if nothing waits.
	index int
	// running is the number of popped items that are not settled. Only partners use it.
	running int
	// lastPush is when the last item was pushed. Only partners use it.
	lastPush clock.Millis
}

// ActiveWindow is how long after its last request slots are kept free for a partner.
const ActiveWindow clock.Millis = 10_000

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue struct {
	// slots is the number of requests that run concurrently. A partner over its share
	// leaves reserve of them free for the others.
	slots, reserve int
	running        int
	root           *flow
	// limit is the maximum number of items that wait.
	limit  int
	length int
	byID   map[uint64]*list.Element
}

// New returns an empty queue in which up to limit items wait for slots.
func New(limit, slots int) *Queue {
	return &Queue{root: newFlow("", 1), limit: limit, slots: slots, byID: map[uint64]*list.Element{}}
}

// SetSlots sets the number of slots and how many of them are kept free for partners under
// their share. Running items keep their slots.
func (q *Queue) SetSlots(slots, reserve int) { q.slots, q.reserve = slots, min(reserve, slots-1) }

// Slots returns the number of requests that run concurrently.
func (q *Queue) Slots() int { return q.slots }

// Running returns the number of popped items that are not settled.
func (q *Queue) Running() int { return q.running }

func newFlow(name string, share float64) *flow {
	return &flow{name: name, share: share, children: map[string]*flow{}, items: list.New(), index: -1}
}

// Len returns the number of items that wait.
func (q *Queue) Len() int { return q.length }

// SetLimit sets the maximum number of items that wait. Items in the queue stay.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Push adds an item and returns the items that were shed, which never run. If the queue is
// full, it sheds the newest item of the workspace with the highest waiting cost in
// proportion to its share, within the partner for which the same is true. This may be the
// item itself.
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

// Pop removes and returns the next item. It returns false if there is no slot or no item
// that may use one.
//
// An engine doesn't preempt requests. Therefore, a partner over its share leaves a few
// slots free while other partners are active, so that their next request need not wait
// until one of its long requests ends.
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

// activeShares returns the sum of the shares of the active partners: those with waiting or
// running items, and those whose last item was pushed within ActiveWindow.
func (q *Queue) activeShares(now clock.Millis) float64 {
	total := 0.0
	for _, c := range q.root.children {
		if c.index >= 0 || c.running > 0 || now-c.lastPush < ActiveWindow {
			total += c.share
		}
	}
	return total
}

// UnderShare reports whether items wait while the partner, with its running and waiting
// requests, has less than its share of the slots. Its next request is served before those
// of the others then, so their waiting is no reason to refuse it.
func (q *Queue) UnderShare(partner string, share float64, now clock.Millis) bool {
	if q.length == 0 {
		return false
	}
	total, count := q.activeShares(now), 0
	if c, ok := q.root.children[partner]; ok {
		count = c.running
		for _, w := range c.children {
			count += w.items.Len()
		}
		if c.index < 0 && c.running == 0 && now-c.lastPush >= ActiveWindow {
			total += share
		}
	} else {
		total += share
	}
	return float64(count) < float64(q.slots)*share/total
}

// nextUnderShare returns the waiting partner with the lowest virtual time among those that
// run less than their share of the slots, or nil if there is none.
func (q *Queue) nextUnderShare(now clock.Millis) *flow {
	total := q.activeShares(now)
	var best *flow
	for _, c := range q.root.active {
		if float64(c.running) < float64(q.slots)*c.share/total && (best == nil || c.vtime < best.vtime) {
			best = c
		}
	}
	return best
}

// Remove removes an item that was not popped. It returns false if the item does not wait.
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
	p.deactivate(w)
	q.root.deactivate(p)
	return true
}

// Settle releases the slot of a popped item and corrects its charge to the actual cost in
// tokens.
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

// PruneIdle removes the flows that have nothing waiting and are not ahead of the others.
// It limits memory to that of the active workspaces.
func (q *Queue) PruneIdle(now clock.Millis) {
	for _, p := range q.root.children {
		p.prune(func(*flow) bool { return true })
	}
	q.root.prune(func(p *flow) bool { return p.running == 0 && now-p.lastPush >= ActiveWindow })
}

// Flows returns the number of partners and workspaces in memory.
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

// activate adds c to the waiting children. A flow that was idle starts at the current
// virtual time and gets no credit for the time without requests.
func (f *flow) activate(c *flow) {
	if c.index >= 0 {
		return
	}
	if len(f.active) == 0 {
		// Nothing waits: flows are not charged for the idle capacity that they used.
		f.base = max(f.base, c.vtime)
	}
	c.vtime = max(c.vtime, f.base)
	heap.Push(&f.active, c)
}

// deactivate removes c from the waiting children if nothing waits in it.
func (f *flow) deactivate(c *flow) {
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

// longest returns the waiting child with the highest waiting cost in proportion to its
// share.
func (f *flow) longest() *flow {
	var top *flow
	for _, c := range f.active {
		if top == nil || float64(c.waiting)/c.share > float64(top.waiting)/top.share {
			top = c
		}
	}
	return top
}

// prune removes the idle children for which removable returns true. While nothing waits,
// no child is ahead of the others.
func (f *flow) prune(removable func(*flow) bool) {
	idle := len(f.active) == 0
	for name, c := range f.children {
		if c.index < 0 && (idle || c.vtime <= f.base) && len(c.children) == 0 && removable(c) {
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
