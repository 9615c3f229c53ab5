package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// phase is the state of an attempt.
type phase string

const (
	// waiting means that the request was not sent to the engine.
	waiting phase = "waiting"
	// started means that the request may have reached the engine.
	started phase = "started"
	// ended means that the result is set. The response is retained for a while.
	ended phase = "ended"
)

// attempt is a request at this daemon. Its frames are retained for some time after its end,
// so that an entry whose connection broke can resume the response.
type attempt struct {
	run    wire.Run
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	phase phase
	// frames holds the frames from the number first on. Those before it were acknowledged.
	frames []wire.Frame
	first  int
	// bytes is the size of frames.
	bytes int
	// acked is closed and replaced when frames are acknowledged.
	acked chan struct{}
	// result is set once, when phase changes to ended.
	result wire.Result
	// changed is closed and replaced when frames or phase change.
	changed chan struct{}
	// followers is the number of connections that read the response.
	followers int
	endedAt   clock.Millis
}

func newAttempt(r wire.Run) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	return &attempt{run: r, ctx: ctx, cancel: cancel, phase: waiting, changed: make(chan struct{}), acked: make(chan struct{})}
}

// notifyFollowers wakes the followers. The caller holds mu.
func (a *attempt) notifyFollowers() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// start records that the request is about to be sent. It returns false if the attempt has
// ended already, in which case it must not be sent.
func (a *attempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase != waiting {
		return false
	}
	a.phase = started
	return true
}

// appendFrame appends a part of the response. It waits until the sender has acknowledged enough
// of it, and returns false if the attempt is over before that.
func (a *attempt) appendFrame(head *wire.Head, data []byte) bool {
	f := wire.Frame{Attempt: a.run.Attempt, Head: head, Data: data}
	for {
		a.mu.Lock()
		if !a.run.Acks || len(a.frames) == 0 || a.bytes+f.Size() <= wire.MaxUnacked {
			break
		}
		acked := a.acked
		a.mu.Unlock()
		select {
		case <-acked:
		case <-a.ctx.Done():
			return false
		}
	}
	defer a.mu.Unlock()
	f.Seq = a.first + len(a.frames)
	a.frames = append(a.frames, f)
	a.bytes += f.Size()
	a.notifyFollowers()
	return true
}

// appendBody appends a complete response. It is split into frames because it may exceed the
// size of a link message.
func (a *attempt) appendBody(head *wire.Head, body []byte) bool {
	ok := a.appendFrame(head, body[:min(len(body), chunkBytes)])
	for n := chunkBytes; ok && n < len(body); n += chunkBytes {
		ok = a.appendFrame(nil, body[n:min(len(body), n+chunkBytes)])
	}
	return ok
}

// ack drops the frames before next, which the sender does not need any more.
func (a *attempt) ack(next int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(next-a.first, len(a.frames))
	if n <= 0 {
		return
	}
	for _, f := range a.frames[:n] {
		a.bytes -= f.Size()
	}
	// A copy, so that the dropped frames take no memory.
	a.frames, a.first = slices.Clone(a.frames[n:]), a.first+n
	close(a.acked)
	a.acked = make(chan struct{})
}

// end ends the attempt with a result. It returns false if it has ended before.
func (a *attempt) end(res wire.Result, now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == ended {
		return false
	}
	res.Frames = a.first + len(a.frames)
	a.phase, a.result, a.endedAt = ended, res, now
	a.cancel()
	a.notifyFollowers()
	return true
}

// abandon ends the attempt unless it was sent, and returns its verdict. NotRun is certain,
// because start fails from then on. MayHaveRun leaves it to the caller to end the attempt.
func (a *attempt) abandon(reason verdict.Reason, message string, now clock.Millis) verdict.Verdict {
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

// maxMergedBytes limits the data of frames that are merged into one message.
const maxMergedBytes = 32 << 10

// follow sends the frames from seq on over c until the attempt ends, and returns the
// result. It returns false if the connection fails. Frames that are available at the same
// time are merged into one message.
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
		pending := a.frames[min(max(0, seq-a.first), len(a.frames)):]
		p, changed, result := a.phase, a.changed, a.result
		a.mu.Unlock()
		for len(pending) > 0 {
			f, n := mergeFrames(pending)
			if c.SendFrame(f) != nil {
				return wire.Result{}, false
			}
			seq = f.Seq + n
			pending = pending[n:]
		}
		if p == ended {
			return result, true
		}
		select {
		case <-changed:
		case <-c.Done():
			return wire.Result{}, false
		}
	}
}

// mergeFrames merges the first frames of pending, up to maxMergedBytes, and returns how many
// it merged.
func mergeFrames(pending []wire.Frame) (wire.Frame, int) {
	f := pending[0]
	n, size := 1, len(f.Data)
	for n < len(pending) && pending[n].Head == nil && size+len(pending[n].Data) <= maxMergedBytes {
		size += len(pending[n].Data)
		n++
	}
	if n == 1 {
		return f, 1
	}
	data := make([]byte, 0, size)
	for _, r := range pending[:n] {
		data = append(data, r.Data...)
	}
	f.Data, f.Count = data, n
	return f, n
}

const (
	// resumeGrace is how long an attempt continues while no entry follows it.
	resumeGrace clock.Millis = 6000
	// endedRetention is how long the response of an ended attempt can be resumed.
	endedRetention clock.Millis = 10_000
	// fenceRetention is how long a fenced attempt is refused.
	fenceRetention clock.Millis = 300_000
	// sweepPeriod is how often these times are checked.
	sweepPeriod clock.Millis = 500
)

// attempts has the requests at this daemon. It is safe for concurrent use.
type attempts struct {
	mu   sync.Mutex
	byID map[uint64]*attempt
	// fenced has the attempts that were canceled or resumed before they arrived, and when.
	// They are refused if they arrive late, so that the verdict not_run remains true.
	fenced map[uint64]clock.Millis
	// unfollowed has the time since which an attempt has no followers.
	unfollowed map[uint64]clock.Millis
}

func newAttempts() *attempts {
	return &attempts{byID: map[uint64]*attempt{}, fenced: map[uint64]clock.Millis{}, unfollowed: map[uint64]clock.Millis{}}
}

// begin adds an attempt and returns it with true. It returns nil if the attempt is fenced,
// and the existing one with false if it was added before.
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

// ack passes an acknowledgment to its attempt.
func (as *attempts) ack(m wire.Ack) {
	as.mu.Lock()
	a := as.byID[m.Attempt]
	as.mu.Unlock()
	if a != nil {
		a.ack(m.Next)
	}
}

// drop removes an attempt that was refused.
func (as *attempts) drop(id uint64) {
	as.mu.Lock()
	defer as.mu.Unlock()
	delete(as.byID, id)
}

// findOrFence returns an attempt. If there is none, it fences the number and returns nil.
func (as *attempts) findOrFence(id uint64, now clock.Millis) *attempt {
	as.mu.Lock()
	defer as.mu.Unlock()
	if a, ok := as.byID[id]; ok {
		return a
	}
	as.fenced[id] = now
	return nil
}

// sweep removes attempts and fences whose retention is over. It returns the attempts that
// have had no followers for longer than resumeGrace.
func (as *attempts) sweep(now clock.Millis) (abandoned []*attempt) {
	as.mu.Lock()
	defer as.mu.Unlock()
	for id, fencedAt := range as.fenced {
		if now-fencedAt > fenceRetention {
			delete(as.fenced, id)
		}
	}
	for id, a := range as.byID {
		a.mu.Lock()
		p, endedAt, followers := a.phase, a.endedAt, a.followers
		a.mu.Unlock()
		switch {
		case p == ended && now-endedAt > endedRetention:
			delete(as.byID, id)
			delete(as.unfollowed, id)
		case p == ended || followers > 0:
			delete(as.unfollowed, id)
		default:
			since, ok := as.unfollowed[id]
			if !ok {
				as.unfollowed[id] = now
			} else if now-since > resumeGrace {
				abandoned = append(abandoned, a)
			}
		}
	}
	return abandoned
}

// active returns the number of attempts that have no result or still have followers.
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
