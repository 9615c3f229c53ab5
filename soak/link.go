package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault is what a link does to the bytes that it carries.
type LinkFault string

const (
	// Sound passes everything on.
	Sound LinkFault = "sound"
	// Delayed passes everything on late.
	Delayed LinkFault = "delayed"
	// Cut drops what goes either way, DeafTo what goes to the dialed end, and
	// DeafFrom what comes back. Connections stay open and silent.
	Cut      LinkFault = "cut"
	DeafTo   LinkFault = "deaf_to"
	DeafFrom LinkFault = "deaf_from"
	// Resets closes all connections, and new ones as they come.
	Resets LinkFault = "resets"
)

// linkBuffer is what waits at either end of a slow link, in bytes.
const linkBuffer = 128 << 10

// linkDelay is what a delayed link adds to each piece.
const linkDelay = 150 * time.Millisecond

// link is a loopback proxy between one process and one address.
type link struct {
	ln     net.Listener
	target string

	// pace is how many bytes a second come back over all connections, 0 if there is
	// no bound. It is set before the link is used.
	pace int
	// turn is held while bytes are on their way back.
	turn sync.Mutex

	mu    sync.Mutex
	fault LinkFault
	open  map[*pair]bool
}

// carryBack takes the time that n bytes need to come back.
func (l *link) carryBack(n int) {
	if l.pace == 0 {
		return
	}
	l.turn.Lock()
	defer l.turn.Unlock()
	time.Sleep(time.Duration(n) * time.Second / time.Duration(l.pace))
}

// pair is a connection that is carried. Its fields are guarded by the link's
// mu.
type pair struct {
	near, far net.Conn
	// lost is true once bytes were dropped that a sound link would have carried.
	lost bool
	// mute is what is dropped for good, with all that would tell of it: also the
	// close of an end. The kernel acknowledges what is dropped, so that only
	// those who wait for an answer can notice. "" drops nothing.
	mute LinkFault
}

// mutes reports whether the connection is silent for good in a direction.
func (p *pair) mutes(way LinkFault) bool { return p.mute == Cut || p.mute == way }

// back returns the opposite of DeafTo or DeafFrom.
func back(way LinkFault) LinkFault {
	if way == DeafTo {
		return DeafFrom
	}
	return DeafTo
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, fault: Sound, open: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

// set changes what the link does. Connections that lost bytes are closed when
// it is sound again.
func (l *link) set(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	for p := range l.open {
		if f == Resets || (f == Sound && p.lost) {
			_, _ = p.near.Close(), p.far.Close()
		}
	}
}

// silence makes up to so many of the open connections silent for good. New
// ones work.
func (l *link) silence(f LinkFault, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		if most == 0 {
			return
		}
		if p.mute == "" {
			p.mute = f
			most--
		}
	}
}

func (l *link) close() {
	_ = l.ln.Close()
	l.set(Resets)
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.carry(c)
	}
}

func (l *link) carry(near net.Conn) {
	defer func() { _ = near.Close() }()
	if l.now() == Resets {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	p := &pair{near: near, far: far}
	if l.pace > 0 {
		// What waits in the kernel is not on the link.
		_ = near.(*net.TCPConn).SetWriteBuffer(linkBuffer)
		_ = far.(*net.TCPConn).SetReadBuffer(linkBuffer)
	}
	l.track(p)
	defer l.untrack(p)
	done := make(chan LinkFault, 2)
	go func() { l.pump(p, far, near, DeafTo); done <- DeafTo }()
	go func() { l.pump(p, near, far, DeafFrom); done <- DeafFrom }()
	if way := <-done; l.muted(p, way) {
		// The other end does not hear that this one closed.
		<-done
	}
}

func (l *link) now() LinkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *link) muted(p *pair, way LinkFault) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.mutes(way)
}

func (l *link) track(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[p] = true
}

func (l *link) untrack(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
}

// pass returns what becomes of bytes that go a way now: Cut drops them.
func (l *link) pass(p *pair, way LinkFault) LinkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case p.mutes(way):
		return Cut
	case l.fault == Cut || l.fault == way:
		p.lost = true
		return Cut
	}
	return l.fault
}

// pump copies one way until either end closes.
func (l *link) pump(p *pair, to, from net.Conn, way LinkFault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if way == DeafFrom {
			l.carryBack(n)
		}
		if f := l.pass(p, way); f != Cut && n > 0 {
			if f == Delayed {
				time.Sleep(linkDelay)
			}
			// Where the other end's close is not heard, what goes there is lost.
			if _, werr := to.Write(buf[:n]); werr != nil && !l.muted(p, back(way)) {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !l.muted(p, way) {
				_ = to.Close()
			}
			return
		}
	}
}
