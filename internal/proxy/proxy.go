// Package proxy provides a TCP proxy that injects faults, for tests and for the soak. It can
// delay or hold data, drop data in one or both directions, reset connections, limit the byte rate,
// and silence open connections for good while new ones work.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/weldfall/weldfall/internal/ports"
)

// Direction is a direction of data on a connection.
type Direction string

const (
	// ToTarget is from the dialing end to the target, FromTarget the opposite.
	ToTarget   Direction = "there"
	FromTarget Direction = "back"
	Both       Direction = "both"
)

// includes reports whether d is Both or other.
func (d Direction) includes(other Direction) bool { return d == Both || d == other }

// opposite returns the opposite of ToTarget or FromTarget.
func (d Direction) opposite() Direction {
	if d == ToTarget {
		return FromTarget
	}
	return ToTarget
}

// Fault is a fault of a link. It affects all data on the link until the next SetFault.
type Fault string

const (
	NoFault Fault = "sound"
	// Delayed forwards all data late.
	Delayed Fault = "delayed"
	// Cut drops the data of both directions, DropToTarget and DropFromTarget that of
	// one. Connections stay open and silent.
	Cut            Fault = "cut"
	DropToTarget   Fault = "deaf_to"
	DropFromTarget Fault = "deaf_from"
	// Held forwards nothing, neither data nor ends, until the next SetFault. Nothing is lost.
	Held Fault = "held"
	// Resets resets the open connections and all new ones.
	Resets Fault = "resets"
)

// DroppedDirection returns the direction whose data a fault drops, "" for none.
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

// Reversed returns the fault with the directions exchanged.
func (f Fault) Reversed() Fault {
	switch f {
	case DropToTarget:
		return DropFromTarget
	case DropFromTarget:
		return DropToTarget
	}
	return f
}

const (
	// delay is added to each chunk by a delayed link.
	delay = 150 * time.Millisecond
	// chunkBytes is the most that is read at once.
	chunkBytes = 8 << 10
	// bufferBytes is the size of the kernel's buffers. With less than a segment of the
	// loopback device the kernel releases data by timers.
	bufferBytes = 128 << 10
)

// Link forwards connections to a target. It is safe for concurrent use.
type Link struct {
	addr, target string
	port         *ports.Port

	mu sync.Mutex
	// ln is nil while the link refuses connections.
	ln net.Listener
	// closed is true after Close.
	closed bool
	fault  Fault
	// released is closed when a Held fault ends, nil if there is none.
	released chan struct{}
	open     map[*proxiedConn]bool
	dials    int
	// droppedChunks counts those of the direction to the target.
	droppedChunks int
	// rate limits the bytes per second from the target over all connections, 0 for no
	// limit.
	rate            int
	bytesFromTarget int64

	// rateMu is held while a chunk from the target is forwarded: connections share the
	// rate.
	rateMu sync.Mutex
}

// proxiedConn is a forwarded connection. The kernel acknowledges data at both ends, so only
// a process's own timeout detects silence. Link.mu guards its changing fields.
type proxiedConn struct {
	dialer, target *net.TCPConn
	// silent is the direction whose data and end are dropped for good, "" for none.
	silent Direction
	// ended has the directions whose sending end has closed.
	ended map[Direction]bool
	// droppedData is true once a fault dropped data.
	droppedData bool
}

// New returns a link to target.
func New(target string) (*Link, error) {
	port, ln, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	l := &Link{addr: port.Addr(), port: port, ln: ln, target: target, fault: NoFault, open: map[*proxiedConn]bool{}}
	go l.accept(ln)
	return l, nil
}

// Addr returns the host:port at which the link listens.
func (l *Link) Addr() string { return l.addr }

// relistenPause is the time between two attempts to listen again.
const relistenPause = 10 * time.Millisecond

// Refuse makes the machine refuse new connections for a time, as if nobody listened.
func (l *Link) Refuse(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil || l.closed {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
	time.AfterFunc(d, l.listen)
}

// listen listens again, as soon as the port is free.
func (l *Link) listen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		time.AfterFunc(relistenPause, l.listen)
		return
	}
	l.ln = ln
	go l.accept(ln)
}

// SetFault changes the fault of the link. It resets the connections of which the previous
// fault dropped data: later data would otherwise follow directly on that before the gap.
func (l *Link) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := f != l.fault
	l.fault = f
	if changed && l.released != nil {
		close(l.released)
		l.released = nil
	}
	if changed && f == Held {
		l.released = make(chan struct{})
	}
	for p := range l.open {
		if f == Resets || (changed && p.droppedData) {
			p.reset()
		}
	}
}

// Silence silences a direction of at most limit of the open connections that are not silent.
func (l *Link) Silence(d Direction, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		if limit == 0 {
			return
		}
		if p.silent == "" {
			p.silent = d
			limit--
		}
	}
}

// SetRate limits the bytes per second from the target over all connections.
func (l *Link) SetRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = bytesPerSecond
}

// BytesFromTarget returns the number of bytes received from the target.
func (l *Link) BytesFromTarget() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesFromTarget
}

// OpenConns returns the number of connections that are open at either end.
func (l *Link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Dials returns the number of connections forwarded so far.
func (l *Link) Dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// DroppedChunks returns the number of chunks to the target that were dropped.
func (l *Link) DroppedChunks() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedChunks
}

// HalfOpenConns returns the number of silent connections that the target keeps open.
func (l *Link) HalfOpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p := range l.open {
		if p.silent.includes(ToTarget) && !p.ended[FromTarget] {
			n++
		}
	}
	return n
}

// Close closes the listener and resets the connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	if l.ln != nil {
		_ = l.ln.Close()
	}
	l.port.Release()
	l.mu.Unlock()
	l.SetFault(Resets)
}

func (l *Link) accept(ln net.Listener) {
	for {
		dialer, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.serve(dialer.(*net.TCPConn))
		}
	}
}

func (l *Link) serve(dialer *net.TCPConn) {
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = dialer.Close()
		return
	}
	p := &proxiedConn{dialer: dialer, target: target.(*net.TCPConn), ended: map[Direction]bool{}}
	// Buffered data is not subject to the rate.
	_ = p.dialer.SetWriteBuffer(bufferBytes)
	_ = p.target.SetReadBuffer(bufferBytes)
	l.mu.Lock()
	if l.fault == Resets {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.open[p] = true
	l.dials++
	l.mu.Unlock()
	go l.forward(p, ToTarget, p.dialer, p.target)
	go l.forward(p, FromTarget, p.target, p.dialer)
}

func (p *proxiedConn) close() { _, _ = p.dialer.Close(), p.target.Close() }

// reset resets both ends, so that neither end mistakes the data so far for complete: a response
// without a length ends with its connection.
func (p *proxiedConn) reset() {
	// Fails on a connection that is closed already.
	_, _ = p.dialer.SetLinger(0), p.target.SetLinger(0)
	p.close()
}

// forward copies one direction until the sending end closes or resets, and then passes the
// end on unless the direction is silent.
func (l *Link) forward(p *proxiedConn, d Direction, from, to *net.TCPConn) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		l.awaitRelease()
		if d == FromTarget {
			l.throttle(n)
		}
		drop, late := l.recordChunk(p, d, n)
		if late {
			time.Sleep(delay)
		}
		if n > 0 && !drop {
			// A failed write means that the receiver has closed. If the
			// opposite direction is silent, the sender must not notice it.
			if _, werr := to.Write(buf[:n]); werr != nil && !l.isSilent(p, d.opposite()) {
				_ = from.Close()
			}
		}
		if err != nil {
			if (!errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) || l.hasDroppedData(p)) && !l.isSilent(p, d) {
				p.reset()
			}
			l.end(p, d, to)
			return
		}
	}
}

// awaitRelease waits while the link is Held.
func (l *Link) awaitRelease() {
	for {
		l.mu.Lock()
		released := l.released
		l.mu.Unlock()
		if released == nil {
			return
		}
		<-released
	}
}

// throttle counts n bytes from the target and waits as long as they take at the rate.
func (l *Link) throttle(n int) {
	l.mu.Lock()
	rate := l.rate
	l.bytesFromTarget += int64(n)
	l.mu.Unlock()
	if rate == 0 {
		return
	}
	l.rateMu.Lock()
	defer l.rateMu.Unlock()
	time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
}

// recordChunk records a chunk of n bytes and reports whether to drop or to delay it.
func (l *Link) recordChunk(p *proxiedConn, d Direction, n int) (drop, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == 0 {
		return false, false
	}
	if l.fault.DroppedDirection().includes(d) {
		p.droppedData, drop = true, true
	}
	drop = drop || p.silent.includes(d)
	if drop && d == ToTarget {
		l.droppedChunks++
	}
	return drop, l.fault == Delayed && !drop
}

// hasDroppedData reports whether a fault dropped data of a connection. An orderly end after it
// would make the data so far look complete.
func (l *Link) hasDroppedData(p *proxiedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.droppedData
}

func (l *Link) isSilent(p *proxiedConn, d Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.silent.includes(d)
}

// end records the end of a direction and passes it on unless the direction is silent.
func (l *Link) end(p *proxiedConn, d Direction, to *net.TCPConn) {
	l.mu.Lock()
	p.ended[d] = true
	silent, both := p.silent.includes(d), p.ended[ToTarget] && p.ended[FromTarget]
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
