// Package linktest has a link for tests whose open connections can fall silent
// for good while new ones work.
package linktest

import (
	"net"
	"sync"
	"testing"
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
		l.mu.Lock()
		l.open[p] = true
		l.dials++
		l.mu.Unlock()
		go l.pump(p, There, p.near, p.far)
		go l.pump(p, Back, p.far, p.near)
	}
}

// pump copies one way until the sending end closes, and then tells the other
// end unless the way is silent.
func (l *Link) pump(p *pair, w Way, from, to *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
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
