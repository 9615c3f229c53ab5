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

// linkDelay is what a delayed link adds to each piece.
const linkDelay = 150 * time.Millisecond

// link is a loopback proxy between one process and one address.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault LinkFault
	// open has the connections; true marks those that lost bytes.
	open map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, fault: Sound, open: map[net.Conn]bool{}}
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
	for c, lost := range l.open {
		if f == Resets || (f == Sound && lost) {
			_ = c.Close()
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
	l.track(near, far)
	defer l.untrack(near, far)
	done := make(chan struct{}, 2)
	go func() { l.pump(far, near, DeafTo); done <- struct{}{} }()
	go func() { l.pump(near, far, DeafFrom); done <- struct{}{} }()
	<-done
}

func (l *link) now() LinkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.open[c] = false
	}
}

func (l *link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.open, c)
	}
}

// pump copies one way until either end closes.
func (l *link) pump(to, from net.Conn, deaf LinkFault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch f := l.now(); {
		case f == Cut || f == deaf:
			l.mu.Lock()
			l.open[from] = true
			l.mu.Unlock()
		case n > 0:
			if f == Delayed {
				time.Sleep(linkDelay)
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			return
		}
	}
}
