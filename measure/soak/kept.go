package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

const (
	// silentCallers is the number of additional callers per gate.
	silentCallers = 4
	// maxPipelined limits the requests that are sent before the first response.
	maxPipelined = 3
	// maxPiecePause limits the time between two pieces of a request.
	maxPiecePause = 250 * time.Millisecond
	// maxThinkTime limits the time from a response to the next request.
	maxThinkTime = 120 * time.Millisecond
	// silentCallersFrom separates these random sequences from those of other callers.
	silentCallersFrom = 1 << 37
)

// keptConn is a connection that a caller uses until either end closes it.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

// callSilent sends requests over connections that stay open as long as the gate keeps them, some
// of them in two pieces and some of them pipelined, until the run ends.
func (w *deployment) callSilent(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(silentCallersFrom+g*silentCallers+c)))
	paths := []string{"/safe/x", "/unsafe/x", "/unsafe" + longPlainSuffix, "/chat/x", "/resume/x", longPath + "x"}
	var k *keptConn
	for n := 0; w.ctx.Err() == nil; {
		if k != nil && rng.IntN(8) == 0 {
			_ = k.Close()
			k = nil
		}
		if k == nil {
			nc, err := net.DialTimeout("tcp", w.gates[g].callersAddr, callerPatience)
			if err != nil {
				time.Sleep(maxThinkTime)
				continue
			}
			k = &keptConn{Conn: nc, br: bufio.NewReader(nc)}
		}
		var requests []request
		for range []int{1, 1, 1, 1 + rng.IntN(maxPipelined)}[rng.IntN(4)] {
			a := request{gate: g, id: fmt.Sprintf("k%dc%dn%d", g, c, n), path: paths[rng.IntN(len(paths))], key: keyValid, proto: raw11}
			if a.longStream() {
				a.tokens = standin.EventTokens * (1 + rng.IntN(maxLongEvents))
			}
			requests = append(requests, a)
			n++
		}
		if !w.exchange(k, requests, rng) {
			_ = k.Close()
			k = nil
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxThinkTime))))
	}
	if k != nil {
		_ = k.Close()
	}
}

// exchange sends requests and reads their responses. It reports whether the connection can be
// used further.
func (w *deployment) exchange(k *keptConn, requests []request, rng *rand.Rand) (open bool) {
	var text strings.Builder
	for i := range requests {
		req, err := w.request(w.gates[requests[i].gate].callersAddr, requests[i])
		if err != nil {
			return false
		}
		_ = req.Write(&text)
	}
	_ = k.SetDeadline(time.Now().Add(longPatience * time.Duration(len(requests))))
	sent := time.Now()
	written := k.writeInPieces(text.String(), rng)
	open = true
	closing := false
	for _, a := range requests {
		a.sent, a.written, a.closing = sent, written, closing
		if open {
			m := readMessage(k.br, raw11)
			a.status, a.body, a.ending, a.fault, a.gaveUp = m.status, string(m.body), m.ending, m.fault, timedOut(m.err)
			a.signature = standin.Signature(http.Header(m.header))
			closing = closing || strings.EqualFold(m.header.Get("Connection"), "close") || m.ending == framing.Closed
			open = m.ending == framing.Complete && !closing
		}
		w.rec.addRequest(a.finish())
	}
	return open
}

// writeInPieces writes text, half of the time in two pieces. It returns when the last byte was
// written, or zero if that failed.
func (k *keptConn) writeInPieces(text string, rng *rand.Rand) time.Time {
	if rng.IntN(2) == 0 {
		first := 1 + rng.IntN(len(text)-1)
		if _, err := io.WriteString(k, text[:first]); err != nil {
			return time.Time{}
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxPiecePause))))
		text = text[first:]
	}
	if _, err := io.WriteString(k, text); err != nil {
		return time.Time{}
	}
	return time.Now()
}
