package exchange

import (
	"errors"
	"sync"

	"github.com/weldfall/weldfall/engines/origin"
)

// store is a record on its way to other entries.
type store struct {
	x      *Exchange
	record origin.Record
	done   chan bool

	mu sync.Mutex
	// rest are the entries that were not tried yet.
	rest []string
	// sending is the number of entries that have not responded yet.
	sending int
	// finished is true once done is closed.
	finished bool
}

// start sends the record to the next n entries, or to all if there are fewer.
func (s *store) start(n int) {
	s.mu.Lock()
	next := s.take(n)
	s.mu.Unlock()
	s.send(next)
}

// take returns the next n entries, to which the record is then sent, or all if there are
// fewer. The caller holds mu.
func (s *store) take(n int) []string {
	n = min(n, len(s.rest))
	next := s.rest[:n]
	s.rest, s.sending = s.rest[n:], s.sending+n
	return next
}

func (s *store) send(addrs []string) {
	for _, addr := range addrs {
		s.x.outputs.add(addr, output{record: s.record, sent: s.sent})
	}
}

// sent handles the response of an entry. A record that the entry did not take goes to the
// next one.
func (s *store) sent(err error) {
	var next []string
	s.mu.Lock()
	s.sending--
	if err != nil {
		next = s.take(1)
	}
	failed := err != nil && s.sending == 0
	s.mu.Unlock()
	switch {
	case err == nil:
		s.finish(true)
	case failed:
		s.finish(false)
	}
	s.send(next)
}

// finish closes done and counts the record, at the first call.
func (s *store) finish(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return
	}
	s.finished = true
	s.done <- held
	close(s.done)
	if held {
		s.x.stored.Inc()
		return
	}
	s.x.unstored.Inc()
}

// output is a record for one entry.
type output struct {
	record origin.Record
	// sent is called with the result.
	sent func(err error)
}

// maxWaiting limits the records that wait for one entry.
const maxWaiting = 1024

// errBusy means that too many records wait for an entry.
var errBusy = errors.New("too many records wait for this entry")

// outputs holds the records for each entry. One call to an entry is in flight at a time,
// and the records that come meanwhile go with the next one, in order.
type outputs struct {
	// send sends records to the entry at an address.
	send func(addr string, records []origin.Record) error

	mu sync.Mutex
	// waiting holds the records for each entry with a call in flight.
	waiting map[string][]output
}

func (o *outputs) add(addr string, out output) {
	o.mu.Lock()
	if o.waiting == nil {
		o.waiting = map[string][]output{}
	}
	w, busy := o.waiting[addr]
	full := len(w) >= maxWaiting
	if !full {
		o.waiting[addr] = append(w, out)
	}
	o.mu.Unlock()
	switch {
	case full:
		out.sent(errBusy)
	case !busy:
		go o.run(addr)
	}
}

// run sends the records that wait for an entry until there are none.
func (o *outputs) run(addr string) {
	for {
		o.mu.Lock()
		w := o.waiting[addr]
		if len(w) == 0 {
			delete(o.waiting, addr)
			o.mu.Unlock()
			return
		}
		n := min(len(w), origin.MaxPacked)
		next := w[:n]
		o.waiting[addr] = w[n:]
		o.mu.Unlock()
		records := make([]origin.Record, n)
		for i, out := range next {
			records[i] = out.record
		}
		err := o.send(addr, records)
		for _, out := range next {
			out.sent(err)
		}
	}
}
