// Package linktest has a link for tests whose open connections can fall silent
// for good while new ones work, and which carries only so many bytes a second.
package linktest

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Way is the way that bytes go on a connection.
type Way string

const (
	// There is from the end that dialed, Back is to it.
	There Way = "there"
	Back  Way = "back"
	Both  Way = "both"
)

// Link passes connections on to an address.
type Link struct {
	ln     net.Listener
	target string

	mu   sync.Mutex
	open map[*pair]bool
	// dials counts the connections that came, lost the pieces on their way there
	// that were dropped.
	dials int
	lost  int
	// pace is how many bytes a second all connections together carry back, 0 if
	// there is no bound; back counts those that they carried.
	pace int
	back int64

	// turn is held while a piece is on its way back: connections share the link.
	turn sync.Mutex
}

// pair is a connection through the link. Both ends are acknowledged by the
// kernel, so that only a time-out of a process's own tells that it is silent.
type pair struct {
	near, far *net.TCPConn
	// silent has the ways on which bytes and the end are dropped; guarded by the
	// link's mu.
	silent map[Way]bool
	// ended has the ways on which the sending end has closed; guarded by the
	// link's mu.
	ended map[Way]bool
}

// New returns a link to target that lasts as long as the test.
func New(t testing.TB, target string) *Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Link{ln: ln, target: target, open: map[*pair]bool{}}
	go l.accept()
	t.Cleanup(l.close)
	return l
}

// Addr returns host:port of the near end.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Silence makes the connections that are open now silent.
func (l *Link) Silence(w Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.silent[There] = p.silent[There] || w != Back
		p.silent[Back] = p.silent[Back] || w != There
	}
}

// Pace bounds how many bytes a second the link carries back, over all its
// connections.
func (l *Link) Pace(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace = bytes
}

// Back returns how many bytes the link carried back.
func (l *Link) Back() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.back
}

// Open returns how many connections are open at either end.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Dials returns how many connections came.
func (l *Link) Dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// Lost returns how many pieces were dropped on their way there.
func (l *Link) Lost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Kept returns how many silent connections the far end still keeps open.
func (l *Link) Kept() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p := range l.open {
		if p.silent[There] && !p.ended[Back] {
			n++
		}
	}
	return n
}

func (l *Link) close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near.(*net.TCPConn), far: far.(*net.TCPConn), silent: map[Way]bool{}, ended: map[Way]bool{}}
		// What waits in the kernel is not on the link: a slow link holds little.
		_ = p.near.SetWriteBuffer(bufferBytes)
		_ = p.far.SetReadBuffer(bufferBytes)
		l.mu.Lock()
		l.open[p] = true
		l.dials++
		l.mu.Unlock()
		go l.pump(p, There, p.near, p.far)
		go l.pump(p, Back, p.far, p.near)
	}
}

const (
	// pieceBytes is what is copied at once.
	pieceBytes = 8 << 10
	// bufferBytes is what waits in the kernel on either side at most; with less
	// than a segment of loopback it deals out bytes by timers.
	bufferBytes = 128 << 10
)

// carry takes the time that n bytes need on their way back.
func (l *Link) carry(n int) {
	l.mu.Lock()
	pace := l.pace
	l.back += int64(n)
	l.mu.Unlock()
	if pace == 0 {
		return
	}
	l.turn.Lock()
	defer l.turn.Unlock()
	time.Sleep(time.Duration(n) * time.Second / time.Duration(pace))
}

// pump copies one way until the sending end closes, and then tells the other
// end unless the way is silent.
func (l *Link) pump(p *pair, w Way, from, to *net.TCPConn) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if w == Back {
			l.carry(n)
		}
		silent := l.took(p, w, n)
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
			}
		}
		if err != nil {
			l.end(p, w, to)
			return
		}
	}
}

// took counts a piece and reports whether it is to be dropped.
func (l *Link) took(p *pair, w Way, n int) (silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n > 0 && w == There && p.silent[There] {
		l.lost++
	}
	return p.silent[w]
}

func (l *Link) end(p *pair, w Way, to *net.TCPConn) {
	l.mu.Lock()
	p.ended[w] = true
	silent, both := p.silent[w], p.ended[There] && p.ended[Back]
	if both {
		delete(l.open, p)
	}
	l.mu.Unlock()
	if !silent {
		_ = to.CloseWrite()
	}
	if both {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}
