// Package fair is the queue in front of one engine. It divides the engine by
// partner, then by workspace, in tokens and in proportion to their shares; it
// is work-conserving and bounded. It is pure: nothing in it waits.
//
// The order is start-time fair queueing on two levels: each flow carries the
// virtual time at which its next request starts, and the flow that is
// furthest behind goes first.
package fair

import (
	"container/heap"
	"container/list"
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
}

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue struct {
	root *flow
	// limit is the most items that wait.
	limit  int
	length int
	byID   map[uint64]*list.Element
}

// New returns an empty queue in which at most limit items wait.
func New(limit int) *Queue {
	return &Queue{root: newFlow("", 1), limit: limit, byID: map[uint64]*list.Element{}}
}

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
func (q *Queue) Push(it Item) (shed []Item) {
	p := q.root.child(it.Partner, it.PartnerShare)
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

// Pop takes the item whose turn it is.
func (q *Queue) Pop() (Item, bool) {
	if q.length == 0 {
		return Item{}, false
	}
	p := q.root.active[0]
	w := p.active[0]
	it := w.items.Front().Value.(Item)
	q.root.charge(p, it.Cost)
	p.charge(w, it.Cost)
	q.Remove(it.ID)
	return it, true
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

// Settle corrects the charge of a popped item when its true cost in tokens is
// known.
func (q *Queue) Settle(it Item, cost int) {
	p, ok := q.root.children[it.Partner]
	if !ok {
		return
	}
	q.root.adjust(p, cost-it.Cost)
	if w, ok := p.children[it.Workspace]; ok {
		p.adjust(w, cost-it.Cost)
	}
}

// Forget drops flows that wait for nothing and are not ahead of the others,
// so that memory follows the active workspaces.
func (q *Queue) Forget() {
	for _, p := range q.root.children {
		p.forget()
	}
	q.root.forget()
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
func (f *flow) forget() {
	idle := len(f.active) == 0
	for name, c := range f.children {
		if c.index < 0 && (idle || c.vtime <= f.base) && len(c.children) == 0 {
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
