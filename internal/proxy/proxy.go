// Package proxy has a link between processes for tests and for the soak: it carries
// connections to an address, and can be late, lose what goes one way or both, reset,
// carry only so many bytes a second, or let the connections that are open fall silent
// for good while new ones work.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is the way that bytes go on a connection.
type Direction string

const (
	// ToTarget is from the end that dialed, Back is to it.
	ToTarget   Direction = "there"
	FromTarget Direction = "back"
	Both       Direction = "both"
)

// covers reports whether w is one way or both of which the other is one.
func (w Direction) covers(one Direction) bool { return w == Both || w == one }

// back returns the opposite of There or Back.
func (w Direction) back() Direction {
	if w == ToTarget {
		return FromTarget
	}
	return ToTarget
}

// Fault is what a link does to all that it carries, for as long as it lasts.
type Fault string

const (
	// NoFault passes everything on.
	NoFault Fault = "sound"
	// Delayed passes everything on late.
	Delayed Fault = "delayed"
	// Cut drops what goes either way, DeafTo what goes to the dialed end, and
	// DeafFrom what comes back. Connections stay open and silent.
	Cut            Fault = "cut"
	DropToTarget   Fault = "deaf_to"
	DropFromTarget Fault = "deaf_from"
	// Resets closes all connections, and new ones as they come.
	Resets Fault = "resets"
)

// DroppedDirection returns the way on which a fault drops what goes, "" if it drops nothing.
func (f Fault) DroppedDirection() Direction {
	switch f {
	case Cut:
		return Both
	case DropToTarget:
		return ToTarget
	case DropFromTarget:
		return FromTarget
	}
	return ""
}

const (
	// delay is what a delayed link adds to each piece.
	delay = 150 * time.Millisecond
	// pieceBytes is what is copied at once.
	pieceBytes = 8 << 10
	// bufferBytes is what waits in the kernel on either side at most; with less
	// than a segment of loopback it deals out bytes by timers.
	bufferBytes = 128 << 10
)

// Link carries connections to an address. It is safe for concurrent use.
type Link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault Fault
	open  map[*pair]bool
	// dials counts the connections that were carried, lost the pieces on their way
	// there that were dropped.
	dials int
	lost  int
	// pace is how many bytes a second all connections together carry back, 0 if
	// there is no bound; back counts those that they carried.
	pace int
	back int64

	// turn is held while a piece is on its way back: connections share the link.
	turn sync.Mutex
}

// pair is a connection that is carried. Both ends are acknowledged by the kernel, so
// that only a time-out of a process's own tells that it is silent. What changes is
// guarded by the link's mu.
type pair struct {
	near, far *net.TCPConn
	// silent is the way on which bytes and the end are dropped for good, "" for
	// none.
	silent Direction
	// ended has the ways on which the sending end has closed.
	ended map[Direction]bool
	// lost is true once a fault dropped bytes.
	lost bool
}

// New returns a link to target.
func New(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, target: target, fault: NoFault, open: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

// Addr returns host:port of the near end.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// SetFault changes what the link does. Connections that lost bytes are reset when the fault that
// took them is over: what came after the bytes that are missing would follow on those before.
func (l *Link) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := f != l.fault
	l.fault = f
	for p := range l.open {
		if f == Resets || (over && p.lost) {
			p.reset()
		}
	}
}

// Silence makes up to so many of the open connections that are not silent so on a way.
func (l *Link) Silence(w Direction, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		if most == 0 {
			return
		}
		if p.silent == "" {
			p.silent = w
			most--
		}
	}
}

// SetRate bounds how many bytes a second the link carries back, over all its
// connections.
func (l *Link) SetRate(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace = bytes
}

// BytesFromTarget returns how many bytes the link carried back.
func (l *Link) BytesFromTarget() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.back
}

// OpenConns returns how many connections are open at either end.
func (l *Link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Dials returns how many connections were carried.
func (l *Link) Dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// DroppedChunks returns how many pieces were dropped on their way there.
func (l *Link) DroppedChunks() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// HalfOpenConns returns how many silent connections the far end still keeps open.
func (l *Link) HalfOpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p := range l.open {
		if p.silent.covers(ToTarget) && !p.ended[FromTarget] {
			n++
		}
	}
	return n
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.SetFault(Resets)
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.carry(near.(*net.TCPConn))
		}
	}
}

func (l *Link) carry(near *net.TCPConn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far.(*net.TCPConn), ended: map[Direction]bool{}}
	// What waits in the kernel is not on the link: a slow link holds little.
	_ = p.near.SetWriteBuffer(bufferBytes)
	_ = p.far.SetReadBuffer(bufferBytes)
	l.mu.Lock()
	if l.fault == Resets {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.open[p] = true
	l.dials++
	l.mu.Unlock()
	go l.pump(p, ToTarget, p.near, p.far)
	go l.pump(p, FromTarget, p.far, p.near)
}

func (p *pair) close() { _, _ = p.near.Close(), p.far.Close() }

// reset ends both connections so that neither end takes what it got for all: an answer
// without a length ends with its connection.
func (p *pair) reset() {
	// Connections that are closed already have no linger to set.
	_, _ = p.near.SetLinger(0), p.far.SetLinger(0)
	p.close()
}

// pump copies one way until the sending end closes or resets, and then tells the other
// end so unless the way is silent.
func (l *Link) pump(p *pair, w Direction, from, to *net.TCPConn) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if w == FromTarget {
			l.carryBack(n)
		}
		drop, late := l.took(p, w, n)
		if late {
			time.Sleep(delay)
		}
		if n > 0 && !drop {
			// Where the other end's close is not heard, what goes there is lost.
			if _, werr := to.Write(buf[:n]); werr != nil && !l.isSilent(p, w.back()) {
				_ = from.Close()
			}
		}
		if err != nil {
			if (!errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) || l.lostBytes(p)) && !l.isSilent(p, w) {
				p.reset()
			}
			l.end(p, w, to)
			return
		}
	}
}

// carryBack takes the time that n bytes need on their way back.
func (l *Link) carryBack(n int) {
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

// took counts a piece of n bytes and reports whether it is dropped, or late.
func (l *Link) took(p *pair, w Direction, n int) (drop, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == 0 {
		return false, false
	}
	if l.fault.DroppedDirection().covers(w) {
		p.lost, drop = true, true
	}
	drop = drop || p.silent.covers(w)
	if drop && w == ToTarget {
		l.lost++
	}
	return drop, l.fault == Delayed && !drop
}

// lostBytes reports whether a fault dropped bytes of a connection. An end that followed them
// would make what came before look whole.
func (l *Link) lostBytes(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.lost
}

func (l *Link) isSilent(p *pair, w Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.silent.covers(w)
}

// end takes the end of what is sent one way.
func (l *Link) end(p *pair, w Direction, to *net.TCPConn) {
	l.mu.Lock()
	p.ended[w] = true
	silent, both := p.silent.covers(w), p.ended[ToTarget] && p.ended[FromTarget]
	if both {
		delete(l.open, p)
	}
	l.mu.Unlock()
	if !silent {
		_ = to.CloseWrite()
	}
	if both {
		p.close()
	}
}
