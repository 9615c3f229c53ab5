package daemon

import (
	"context"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// phase is how far an attempt has come.
type phase string

const (
	// waiting attempts have not been sent to the engine.
	waiting phase = "waiting"
	// started attempts may have reached the engine.
	started phase = "started"
	// ended attempts have a result; the answer stays for a while.
	ended phase = "ended"
)

// attempt is one request at this daemon. Its frames stay until some time
// after the end, so that an entry whose connection broke gets the rest.
type attempt struct {
	run    wire.Run
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	phase  phase
	frames []wire.Frame
	// result is set once, when phase becomes ended.
	result wire.Result
	// grown is closed and replaced when frames or phase change.
	grown chan struct{}
	// followers counts the connections that read the answer.
	followers int
	endedAt   clock.Millis
}

func newAttempt(r wire.Run) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{run: r, ctx: ctx, cancel: cancel, phase: waiting, grown: make(chan struct{})}
}

func (a *attempt) wake() {
	close(a.grown)
	a.grown = make(chan struct{})
}

// start marks that the request is about to be sent; it reports false when the
// attempt has ended already, and then it must not be sent.
func (a *attempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != waiting {
		return false
	}
	a.phase = started
	return true
}

// add appends a piece of the answer.
func (a *attempt) add(head *wire.Head, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frames = append(a.frames, wire.Frame{Attempt: a.run.Attempt, Seq: len(a.frames), Head: head, Data: data})
	a.wake()
}

// addHeld appends the whole of an answer. One message of a link may not hold it.
func (a *attempt) addHeld(head *wire.Head, body []byte) {
	a.add(head, body[:min(len(body), pieceBytes)])
	for n := pieceBytes; n < len(body); n += pieceBytes {
		a.add(nil, body[n:min(len(body), n+pieceBytes)])
	}
}

// end sets the result, once; it reports whether this call did.
func (a *attempt) end(res wire.Result, now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == ended {
		return false
	}
	res.Frames = len(a.frames)
	a.phase, a.result, a.endedAt = ended, res, now
	a.cancel()
	a.wake()
	return true
}

// giveUp ends the attempt unless it has been sent, and returns what is known:
// not_run is certain, since start fails from now on.
func (a *attempt) giveUp(reason verdict.Reason, message string, now clock.Millis) verdict.Verdict {
	a.mu.Lock()
	p := a.phase
	result := a.result
	a.mu.Unlock()
	switch {
	case p == waiting && a.end(wire.Result{Verdict: verdict.NotRun, Reason: reason, Message: message}, now):
		return verdict.NotRun
	case p == ended:
		return result.Verdict
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == ended {
		return a.result.Verdict
	}
	return verdict.MayHaveRun
}

// mergeBytes bounds the data of frames that are merged into one message.
const mergeBytes = 32 << 10

// follow sends the frames from seq on over c until the attempt ends, and
// returns the result. Frames that are ready together go as one message.
func (a *attempt) follow(c *link.Conn, seq int) (wire.Result, bool) {
	release := c.Watch()
	defer release()
	a.mu.Lock()
	a.followers++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.followers--
		a.mu.Unlock()
	}()
	for {
		a.mu.Lock()
		ready := a.frames[min(seq, len(a.frames)):]
		p, grown, result := a.phase, a.grown, a.result
		a.mu.Unlock()
		for len(ready) > 0 {
			f, n := merge(ready)
			if c.SendFrame(f) != nil {
				return wire.Result{}, false
			}
			seq += n
			ready = ready[n:]
		}
		if p == ended {
			return result, true
		}
		select {
		case <-grown:
		case <-c.Done():
			return wire.Result{}, false
		}
	}
}

// merge joins frames from the start of ready, up to a bound of bytes.
func merge(ready []wire.Frame) (wire.Frame, int) {
	f := ready[0]
	n, size := 1, len(f.Data)
	for n < len(ready) && ready[n].Head == nil && size+len(ready[n].Data) <= mergeBytes {
		size += len(ready[n].Data)
		n++
	}
	if n == 1 {
		return f, 1
	}
	data := make([]byte, 0, size)
	for _, r := range ready[:n] {
		data = append(data, r.Data...)
	}
	f.Data, f.Count = data, n
	return f, n
}

// Times that attempts are kept.
const (
	// resumeGrace is how long an attempt goes on when no entry follows it.
	resumeGrace clock.Millis = 6000
	// keepEnded is how long an answer stays for a resume.
	keepEnded clock.Millis = 10_000
	// keepFence is how long an attempt that never came is turned away.
	keepFence clock.Millis = 300_000
	// sweepPeriod is how often these are looked at.
	sweepPeriod clock.Millis = 500
)

// attempts are the requests at this daemon by attempt number.
type attempts struct {
	mu   sync.Mutex
	byID map[uint64]*attempt
	// fenced are attempts that were given up before they arrived; one that
	// arrives late is turned away, so that not_run stays true.
	fenced map[uint64]clock.Millis
	// idle is since when nobody has followed an attempt.
	idle map[uint64]clock.Millis
}

func newAttempts() *attempts {
	return &attempts{byID: map[uint64]*attempt{}, fenced: map[uint64]clock.Millis{}, idle: map[uint64]clock.Millis{}}
}

// begin registers a new attempt. It returns nil when it was given up before,
// and the known one with false when it is here already.
func (as *attempts) begin(r wire.Run) (*attempt, bool) {
	as.mu.Lock()
	defer as.mu.Unlock()
	if _, ok := as.fenced[r.Attempt]; ok {
		return nil, false
	}
	if a, ok := as.byID[r.Attempt]; ok {
		return a, false
	}
	a := newAttempt(r)
	as.byID[r.Attempt] = a
	return a, true
}

// drop forgets an attempt that was refused.
func (as *attempts) drop(id uint64) {
	as.mu.Lock()
	defer as.mu.Unlock()
	delete(as.byID, id)
}

// findOrFence returns the attempt, or fences its number off.
func (as *attempts) findOrFence(id uint64, now clock.Millis) *attempt {
	as.mu.Lock()
	defer as.mu.Unlock()
	if a, ok := as.byID[id]; ok {
		return a
	}
	as.fenced[id] = now
	return nil
}

// sweep drops what is kept no longer and returns the attempts that go on
// without an entry for too long.
func (as *attempts) sweep(now clock.Millis) (abandoned []*attempt) {
	as.mu.Lock()
	defer as.mu.Unlock()
	for id, at := range as.fenced {
		if now-at > keepFence {
			delete(as.fenced, id)
		}
	}
	for id, a := range as.byID {
		a.mu.Lock()
		p, endedAt, followers := a.phase, a.endedAt, a.followers
		a.mu.Unlock()
		switch {
		case p == ended && now-endedAt > keepEnded:
			delete(as.byID, id)
			delete(as.idle, id)
		case p == ended || followers > 0:
			delete(as.idle, id)
		default:
			since, ok := as.idle[id]
			if !ok {
				as.idle[id] = now
			} else if now-since > resumeGrace {
				abandoned = append(abandoned, a)
			}
		}
	}
	return abandoned
}

// active counts the attempts that have no result yet.
func (as *attempts) active() int {
	as.mu.Lock()
	defer as.mu.Unlock()
	n := 0
	for _, a := range as.byID {
		a.mu.Lock()
		if a.phase != ended || a.followers > 0 {
			n++
		}
		a.mu.Unlock()
	}
	return n
}
