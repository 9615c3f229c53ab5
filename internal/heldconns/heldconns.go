// Package heldconns limits the descriptors of processes in tests, and holds connections to them.
package heldconns

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// DescriptorsEnv limits the descriptors of a process that calls LimitDescriptors.
const DescriptorsEnv = "WELDFALL_TEST_DESCRIPTORS"

const (
	dialTimeout = time.Second
	// reopenPause is the pause before a connection that has ended is opened again.
	reopenPause = 100 * time.Millisecond
)

// LimitDescriptors applies DescriptorsEnv to this process. It does nothing if the variable is not
// set.
func LimitDescriptors() error {
	text := os.Getenv(DescriptorsEnv)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%s: %w", DescriptorsEnv, err)
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
}

// OpenDescriptors returns the number of descriptors that a process has open.
func OpenDescriptors(pid int) (int, error) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(files), err
}

// Conns is a number of connections that each send the same bytes and then rest. One that ends is
// opened again.
type Conns struct {
	stop chan struct{}
	wg   sync.WaitGroup
}

// Start opens connections to addr and sends text on each.
func Start(addr, text string, connections int) *Conns {
	c := &Conns{stop: make(chan struct{})}
	for range connections {
		c.wg.Go(func() {
			for {
				c.hold(addr, text)
				select {
				case <-c.stop:
					return
				case <-time.After(reopenPause):
				}
			}
		})
	}
	return c
}

// hold opens a connection and keeps it until either side ends it.
func (c *Conns) hold(addr, text string) {
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = nc.Write([]byte(text))
		buf := make([]byte, 4096)
		for {
			if _, err := nc.Read(buf); err != nil {
				return
			}
		}
	}()
	select {
	case <-c.stop:
	case <-ended:
	}
	_ = nc.Close()
	<-ended
}

// Stop closes all connections.
func (c *Conns) Stop() {
	close(c.stop)
	c.wg.Wait()
}
