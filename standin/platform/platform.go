// Package platform is a stand-in for the users' platform. It serves configuration values with
// revisions, and the list of live and draining instances, by reads and long polls. Reads are
// counted and rate limited, and tests can make the platform fail, slow or stale.
package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/weldfall/weldfall/common/clock"
)

// Mode is a fault of the stand-in, or OK.
type Mode string

const (
	OK Mode = "ok"
	// Down responds to every read with 503.
	Down Mode = "down"
	// Slow responds after slowDelay.
	Slow Mode = "slow"
	// Stale serves the values from the time when the mode was set.
	Stale Mode = "stale"
)

const slowDelay clock.Millis = 3000

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// maxBatchBytes limits the values in one response. A single larger value is still sent.
const maxBatchBytes = 1 << 20

// Item is the latest value of a key.
type Item struct {
	Key     string `json:"key"`
	Rev     int64  `json:"rev"`
	Value   string `json:"value,omitempty"`
	Deleted bool   `json:"gone,omitempty"`
}

// Batch is the response to a read: the items after a revision, in ascending order.
type Batch struct {
	Rev   int64  `json:"rev"`
	Items []Item `json:"items"`
	More  bool   `json:"more,omitempty"`
}

type versioned struct {
	Item
	visibleAt clock.Millis
}

type topic struct {
	rev   int64
	items map[string]versioned
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newTopic() *topic {
	return &topic{items: map[string]versioned{}, changed: make(chan struct{})}
}

func (t *topic) clone() *topic {
	c := newTopic()
	c.rev = t.rev
	for k, v := range t.items {
		c.items[k] = v
	}
	return c
}

// Config is the configuration of the stand-in.
type Config struct {
	// CallsPerSecond limits all reads together. Zero stands for 2,000.
	CallsPerSecond float64
	// ListLag is the delay with which a change shows in the list of instances.
	ListLag clock.Millis
	Clock   *clock.Clock
}

// Platform is the stand-in; it is an http.Handler.
type Platform struct {
	cfg     Config
	limiter *rate.Limiter
	router  *mux.Router

	mu     sync.Mutex
	topics map[string]*topic
	stale  map[string]*topic
	mode   Mode
	calls  int64
}

var _ http.Handler = (*Platform)(nil)

// New returns a stand-in without any values.
func New(cfg Config) *Platform {
	if cfg.CallsPerSecond == 0 {
		cfg.CallsPerSecond = 2000
	}
	p := &Platform{
		cfg: cfg, mode: OK,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), int(cfg.CallsPerSecond)),
		topics:  map[string]*topic{"config": newTopic(), "instances": newTopic()},
		router:  mux.NewRouter(),
	}
	p.router.HandleFunc("/v1/{topic}", p.read).Methods(http.MethodGet)
	p.router.HandleFunc("/admin/mode", p.setMode).Methods(http.MethodPost)
	p.router.HandleFunc("/admin/calls", p.getCalls).Methods(http.MethodGet)
	p.router.HandleFunc("/admin/{topic}/{key:.+}", p.put).Methods(http.MethodPut)
	p.router.HandleFunc("/admin/{topic}/{key:.+}", p.delete).Methods(http.MethodDelete)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Put publishes a value and returns its revision.
func (p *Platform) Put(topicName, key, value string) int64 {
	return p.change(topicName, Item{Key: key, Value: value})
}

// Delete removes a value and returns the revision of the removal.
func (p *Platform) Delete(topicName, key string) int64 {
	return p.change(topicName, Item{Key: key, Deleted: true})
}

func (p *Platform) change(topicName string, it Item) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[topicName]
	t.rev++
	it.Rev = t.rev
	v := versioned{Item: it}
	if topicName == "instances" {
		v.visibleAt = p.cfg.Clock.Now() + p.cfg.ListLag
	}
	t.items[it.Key] = v
	close(t.changed)
	t.changed = make(chan struct{})
	return t.rev
}

// SetMode sets the fault and wakes all long polls.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == Stale && p.mode != Stale {
		p.stale = map[string]*topic{}
		for name, t := range p.topics {
			p.stale[name] = t.clone()
		}
	}
	p.mode = m
	for _, t := range p.topics {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Calls returns the number of reads so far, including the rejected ones.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// view returns the mode, the batch that a reader gets now, a channel that is closed at the next
// change, and the time at which the next change becomes visible, 0 if none is pending.
func (p *Platform) view(name string, after int64) (Mode, Batch, <-chan struct{}, clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.topics[name]
	changed := t.changed
	if p.mode == Stale {
		t = p.stale[name]
	}
	now, next := p.cfg.Clock.Now(), clock.Millis(0)
	b := Batch{Rev: t.rev}
	for _, v := range t.items {
		if v.visibleAt > now {
			b.Rev = min(b.Rev, v.Rev-1)
			if next == 0 || v.visibleAt < next {
				next = v.visibleAt
			}
		}
	}
	for _, v := range t.items {
		if v.Rev > after && v.Rev <= b.Rev {
			b.Items = append(b.Items, v.Item)
		}
	}
	slices.SortFunc(b.Items, func(x, y Item) int { return cmp.Compare(x.Rev, y.Rev) })
	for i, n := 0, 0; i < len(b.Items); i++ {
		if n += len(b.Items[i].Value); n > maxBatchBytes && i > 0 {
			b.Items, b.More = b.Items[:i], true
			b.Rev = b.Items[i-1].Rev
			break
		}
	}
	return p.mode, b, changed, next
}

func (p *Platform) countCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	p.countCall()
	if !p.limiter.Allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	name := mux.Vars(r)["topic"]
	if p.topics[name] == nil {
		http.Error(w, "unknown topic "+name, http.StatusNotFound)
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	end := p.cfg.Clock.Now() + clock.Millis(wait)
	for {
		mode, b, changed, next := p.view(name, after)
		switch mode {
		case Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case Slow:
			if !clock.Sleep(r.Context(), slowDelay) {
				return
			}
		}
		now := p.cfg.Clock.Now()
		if len(b.Items) > 0 || now >= end {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(b)
			return
		}
		until := end
		if next > 0 {
			until = min(end, next)
		}
		if !waitForChange(r, changed, until-now) {
			return
		}
	}
}

// waitForChange waits for a change or for d. It returns false if the client has disconnected.
func waitForChange(r *http.Request, changed <-chan struct{}, d clock.Millis) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		clock.Sleep(r.Context(), d+1)
	}()
	select {
	case <-changed:
	case <-done:
	}
	return r.Context().Err() == nil
}

func (p *Platform) setMode(w http.ResponseWriter, r *http.Request) {
	m := Mode(r.URL.Query().Get("mode"))
	if !slices.Contains([]Mode{OK, Down, Slow, Stale}, m) {
		http.Error(w, "mode must be ok, down, slow or stale", http.StatusBadRequest)
		return
	}
	p.SetMode(m)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, p.Calls())
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	if p.topics[v["topic"]] == nil {
		http.Error(w, "unknown topic "+v["topic"], http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	_, _ = fmt.Fprintln(w, p.Put(v["topic"], v["key"], string(body)))
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	if p.topics[v["topic"]] == nil {
		http.Error(w, "unknown topic "+v["topic"], http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprintln(w, p.Delete(v["topic"], v["key"]))
}
