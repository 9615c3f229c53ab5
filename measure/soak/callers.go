package soak

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

// Streams of very unequal length.
const (
	longPath = "/long/"
	// longCallers is the number of callers per gate that request them.
	longCallers = 6
	longPause   = 30 * time.Millisecond
	// maxLongEvents is the number of events of the longest stream, and longTokens the token
	// limit that its request states: 4.2 s, a little less than a stopping process has.
	maxLongEvents = 140
	longTokens    = maxLongEvents * standin.EventTokens
	// minTokenShare is the minimum part of the stated tokens that a response has. A share of
	// fullLengthShare has all of them. The others are mostly short: the part grows with a uniform
	// random number to the power of tokenSharePower. So a process that has served for a second
	// has seen few responses that take longer, or none.
	minTokenShare   = 0.1
	fullLengthShare = 0.08
	tokenSharePower = 8
	// longPatience exceeds the longest permitted response.
	longPatience = standin.LongTimeout + 2*time.Second
)

// longEvents returns the number of events of the response to a request that states the
// given number of tokens.
func longEvents(id string, tokens int) int {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	rng := rand.New(rand.NewPCG(h.Sum64(), uint64(tokens)))
	maxEvents := float64(tokens / standin.EventTokens)
	if rng.Float64() < fullLengthShare {
		return int(maxEvents)
	}
	return max(1, int(maxEvents*(minTokenShare+(1-minTokenShare)*math.Pow(rng.Float64(), tokenSharePower))))
}

// call sends requests to a gate over persistent connections until the run ends.
func (w *deployment) call(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(g*callers+c)))
	paths := []string{"/safe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	w.callWith(callerPatience, w.protoOf(g, c), func(n int) request {
		a := request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, c, n), path: paths[rng.IntN(len(paths))], key: keyValid, sent: time.Now()}
		if rng.IntN(4) == 0 {
			a.key = keyRevoked
		}
		return a
	}, rng)
}

// callLong requests streams of very unequal length. Half of the requests state the maximum
// number of output tokens.
func (w *deployment) callLong(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(longCallersFrom+g*longCallers+c)))
	w.callWith(longPatience, w.protoOf(g, c), func(n int) request {
		a := request{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, c, n), path: longPath + "x", key: keyValid, tokens: longTokens, sent: time.Now()}
		if rng.IntN(2) == 0 {
			a.tokens = standin.EventTokens * (1 + rng.IntN(maxLongEvents))
		}
		return a
	}, rng)
}

// longCallersFrom separates the random sequences of these callers from those of others.
const longCallersFrom = 1 << 32

// protoOf draws how a caller sends its requests. It has its own random sequence, so the
// requests do not depend on it.
func (w *deployment) protoOf(g, c int) proto {
	return protos[rand.New(rand.NewPCG(w.cfg.Seed, uint64(protosFrom+g*protosOfGate+c))).IntN(len(protos))]
}

const (
	// protosFrom separates these random sequences from those of callers, and protosOfGate
	// those of the gates from one another.
	protosFrom   = 1 << 35
	protosOfGate = 64
)

// callWith sends the requests that next returns until the run ends.
func (w *deployment) callWith(patience time.Duration, by proto, next func(n int) request, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: patience}
	defer client.CloseIdleConnections()
	for n := 0; w.ctx.Err() == nil; n++ {
		a := next(n)
		a.proto = by
		if by == library {
			a = w.send(client, w.gates[a.gate].callersAddr, a)
		} else {
			a = w.sendRaw(patience, w.gates[a.gate].callersAddr, a)
		}
		w.rec.addRequest(a.finish())
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
	}
}

// finish completes the record of a request. It drops a body that is the expected one.
func (a request) finish() request {
	a.ended, a.bytes = time.Now(), len(a.body)
	a.body, a.versions = splitVersions(a.body)
	if a.bodyMatches = a.body == a.wantBody(); a.bodyMatches {
		a.body = ""
	}
	a.complete = a.ending == framing.Complete || (a.ending == framing.Closed && a.bodyMatches)
	return a
}

func (w *deployment) request(addr string, a request) (*http.Request, error) {
	prompt := fmt.Sprintf("p%d:100,q%d:900,%s:10", len(a.id)%3, len(a.id)%7, a.id)
	if a.crashPart != "" {
		prompt = fmt.Sprintf("p%d:100,%s:50,%s:10", len(a.id)%3, a.crashPart, a.id)
	}
	return standin.NewRequest(standin.RequestParams{
		URL: "http://" + addr + a.path, Host: host, ID: a.id, Key: a.key, Prompt: prompt, Deadline: a.deadline(), Tokens: a.tokens, Body: a.crashBody,
	})
}

func (w *deployment) send(client *http.Client, addr string, a request) request {
	req, err := w.request(addr, a)
	if err != nil {
		return a
	}
	res, err := client.Do(req)
	if err != nil {
		a.gaveUp = timedOut(err)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a.status, a.body, a.signature = res.StatusCode, string(body), standin.Signature(res.Header)
	switch {
	case err != nil:
		a.ending = framing.Incomplete
	case res.ContentLength < 0 && len(res.TransferEncoding) == 0:
		a.ending = framing.Closed
	default:
		a.ending = framing.Complete
	}
	a.gaveUp = timedOut(err)
	return a
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
