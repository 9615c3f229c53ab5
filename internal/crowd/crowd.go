// Package crowd opens many connections to a server and sends requests on them that stay outside
// its limits, for tests.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// blockSize is the size of large chunks and of the writes of endless senders, in bytes.
	blockSize = 32 << 10
	// tinySize is the size of very small chunks, in bytes.
	tinySize = 4
	// short is how much an incomplete body lacks, in bytes.
	short = 10
	// endless is how many times the limit an endless sender sends if it is not stopped. It stays
	// connected afterwards.
	endless = 64
	// maxWait is how long a test waits until a crowd has sent everything or was refused. Bytes that
	// a server does not take by then count as sent.
	maxWait = 20 * time.Second
	// pollPause is the pause between two checks whether the server has read everything.
	pollPause = 20 * time.Millisecond
)

// Form is what each connection of a crowd sends.
type Form struct {
	// Name is the name of a subtest.
	Name string
	// framing is the header line that frames the body.
	framing string
	// first is sent after the header, then block as often as blocks says, then last.
	first, block, last []byte
	blocks             int
	// whole is true if the request is complete and gets a response.
	whole bool
	// inHead is true if the header does not end before first.
	inHead bool
}

// Heads returns the forms of headers that stop short of a limit in bytes.
func Heads(limit int) []Form {
	const line = "X: 1\r\n"
	return []Form{
		{Name: "a_head_of_short_lines", framing: "X: 0", first: bytes.Repeat([]byte(line), limit/len(line)), inHead: true},
		{Name: "a_head_of_one_line", framing: "X: 0", first: append([]byte("X: "), bytes.Repeat([]byte("x"), limit)...), inHead: true},
	}
}

// Forms returns the forms of requests outside a limit on the body in bytes.
func Forms(limit int) []Form {
	const chunked = "Transfer-Encoding: chunked"
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d", n) }
	chunk := func(n int) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", n, bytes.Repeat([]byte("x"), n)) }
	body := func(n int) []byte { return bytes.Repeat([]byte("x"), n) }
	tiny := bytes.Repeat(chunk(tinySize), blockSize/tinySize)
	return []Form{
		{Name: "large_chunks_short_of_the_limit", framing: chunked, block: chunk(blockSize), blocks: limit/blockSize - 1, last: chunk(blockSize - short)},
		{Name: "tiny_chunks_short_of_the_limit", framing: chunked, block: tiny, blocks: limit/blockSize - 1, last: bytes.Repeat(chunk(tinySize), (blockSize-short)/tinySize)},
		{Name: "a_length_with_a_byte_missing", framing: length(limit), block: body(blockSize), blocks: limit/blockSize - 1, last: body(blockSize - 1)},
		{Name: "a_length_and_no_byte", framing: length(limit)},
		{Name: "whole_bodies_at_the_limit", framing: length(limit), block: body(blockSize), blocks: limit / blockSize, whole: true},
		{Name: "chunks_without_end", framing: chunked, block: chunk(blockSize), blocks: endless * limit / blockSize},
		{Name: "one_chunk_without_end", framing: chunked, first: []byte("10000000000\r\n"), block: body(blockSize), blocks: endless * limit / blockSize},
		{Name: "a_length_over_the_limit_announced", framing: length(100 << 30)},
		{Name: "a_length_over_the_limit_sent", framing: length(100 << 30), block: body(blockSize), blocks: endless * limit / blockSize},
		{Name: "an_extension_without_end", framing: chunked, first: []byte("1;x="), block: body(blockSize), blocks: endless * limit / blockSize},
		{Name: "extensions_without_end", framing: chunked, block: bytes.Repeat(fmt.Appendf(nil, "1;x=%s\r\nx\r\n", body(1000)), blockSize>>10), blocks: endless * limit / blockSize},
		{Name: "a_trailer_without_end", framing: chunked, first: []byte("1\r\nx\r\n0\r\nX: "), block: body(blockSize), blocks: endless * limit / blockSize},
		{Name: "trailers_without_end", framing: chunked, first: []byte("1\r\nx\r\n0\r\n"), block: bytes.Repeat(fmt.Appendf(nil, "X: %s\r\n", body(1000)), blockSize>>10), blocks: endless * limit / blockSize},
	}
}

// Crowd is a number of connections to a server.
type Crowd struct {
	t testing.TB
	// port is the server's port as the end of an address in /proc/net/tcp.
	port  string
	conns []net.Conn
	sent  sync.WaitGroup
}

// Start opens size connections to addr, each of which sends a request of a form. head returns the
// header of the request of a connection without its framing, as lines that end with CRLF. The
// connections stay open until the end of the test, unless the server closes them.
func Start(t testing.TB, addr string, size int, f Form, head func(n int) string) *Crowd {
	t.Helper()
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := &Crowd{t: t, port: fmt.Sprintf(":%04X", at.Port)}
	t.Cleanup(c.Close)
	for n := range size {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			// A server may refuse connections.
			continue
		}
		c.conns = append(c.conns, nc)
		c.sent.Go(func() {
			// Fails only if the connection is closed, which the writes report.
			_ = nc.SetDeadline(time.Now().Add(maxWait))
			f.send(nc, head(n))
		})
	}
	return c
}

// send sends a request until all is sent or the server closes the connection.
func (f Form) send(nc net.Conn, head string) {
	end := "\r\n"
	if f.inHead {
		end = ""
	}
	if _, err := fmt.Fprintf(nc, "%s%s\r\n%s%s", head, f.framing, end, f.first); err != nil {
		return
	}
	for range f.blocks {
		if _, err := nc.Write(f.block); err != nil {
			return
		}
	}
	// An error means that the server refused the request.
	_, _ = nc.Write(f.last)
	if f.whole {
		_, _ = nc.Read(make([]byte, 1))
	}
}

// Wait waits until each connection has sent all, or was refused, and the server has read what has
// arrived.
func (c *Crowd) Wait() {
	c.t.Helper()
	c.sent.Wait()
	for until := time.Now().Add(maxWait); time.Now().Before(until); time.Sleep(pollPause) {
		unread, err := c.unread()
		if err != nil {
			c.t.Fatal(err)
		}
		if unread == 0 {
			return
		}
	}
}

// unread returns the number of the server's sockets that have data, or connections, that it has not
// taken.
func (c *Crowd) unread() (int, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("unread data: %w", err)
	}
	n := 0
	for line := range strings.Lines(string(table)) {
		// The fields are the number, the local and the remote address, the state and TX:RX.
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], c.port) {
			continue
		}
		if _, rx, ok := strings.Cut(fields[4], ":"); ok && strings.Trim(rx, "0") != "" {
			n++
		}
	}
	return n, nil
}

// Close closes the connections.
func (c *Crowd) Close() {
	for _, nc := range c.conns {
		_ = nc.Close()
	}
}

// Descriptors returns the number of descriptors that a process has open. It fails if the process has
// ended.
func Descriptors(pid int) (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("descriptors: %w", err)
	}
	return len(open), nil
}
