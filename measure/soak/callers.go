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
	// longCallers is how many callers of a gate ask for them.
	longCallers = 6
	longPause   = 30 * time.Millisecond
	// longMost is how many events the longest has, and longTokens what is told of
	// it: 4.2 s, a little less than a stopping process has.
	longMost   = 140
	longTokens = longMost * standin.EventTokens
	// leastPart is the part of what is told that comes at least. fullShare of the
	// answers have all of it; the rest are mostly short, since the part rises by
	// this power of an even draw. A process that served for a second so has seen
	// few that take longer than that, or none.
	leastPart = 0.1
	fullShare = 0.08
	partPower = 8
	// longPatience is longer than any answer may take.
	longPatience = standin.LongTimeout + 2*time.Second
)

// longEvents returns how many events the answer to a request has that told the
// given number of tokens.
func longEvents(id string, tokens int) int {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	rng := rand.New(rand.NewPCG(h.Sum64(), uint64(tokens)))
	most := float64(tokens / standin.EventTokens)
	if rng.Float64() < fullShare {
		return int(most)
	}
	return max(1, int(most*(leastPart+(1-leastPart)*math.Pow(rng.Float64(), partPower))))
}

// call sends requests to a gate over kept connections until the run is over.
func (w *world) call(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(g*callers+c)))
	paths := []string{"/safe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	w.callWith(callerPatience, w.protoOf(g, c), func(n int) asked {
		a := asked{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, c, n), path: paths[rng.IntN(len(paths))], key: keyKept, sent: time.Now()}
		if rng.IntN(4) == 0 {
			a.key = keyRevoked
		}
		return a
	}, rng)
}

// callLong asks for streams of very unequal length. Half of the requests tell
// the most that may come out.
func (w *world) callLong(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(longCallersFrom+g*longCallers+c)))
	w.callWith(longPatience, w.protoOf(g, c), func(n int) asked {
		a := asked{gate: g, id: fmt.Sprintf("g%dc%dn%d", g, c, n), path: longPath + "x", key: keyKept, tokens: longTokens, sent: time.Now()}
		if rng.IntN(2) == 0 {
			a.tokens = standin.EventTokens * (1 + rng.IntN(longMost))
		}
		return a
	}, rng)
}

// longCallersFrom keeps the draws of longCallers from those of the others.
const longCallersFrom = 1 << 32

// protoOf draws how a caller of a gate sends. The draws of its requests do not depend on it.
func (w *world) protoOf(g, c int) proto {
	return protos[rand.New(rand.NewPCG(w.cfg.Seed, uint64(protosFrom+g*protosOfGate+c))).IntN(len(protos))]
}

const (
	// protosFrom keeps these draws from those of callers, protosOfGate those of gates from
	// one another.
	protosFrom   = 1 << 35
	protosOfGate = 64
)

// callWith sends what next returns until the run is over.
func (w *world) callWith(patience time.Duration, by proto, next func(n int) asked, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: patience}
	defer client.CloseIdleConnections()
	for n := 0; w.ctx.Err() == nil; n++ {
		a := next(n)
		a.by = by
		if by == library {
			a = w.ask(client, w.gates[a.gate].callers, a)
		} else {
			a = w.askRaw(patience, w.gates[a.gate].callers, a)
		}
		w.rec.add(a.done())
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
	}
}

// done returns the request once nothing more comes of it. The body is dropped where it is
// the whole of the request's own answer.
func (a asked) done() asked {
	a.ended, a.bytes = time.Now(), len(a.body)
	if a.own = a.body == a.want(); a.own {
		a.body = ""
	}
	a.whole = a.end == framing.Complete || (a.end == framing.Closed && a.own)
	return a
}

func (w *world) request(addr string, a asked) (*http.Request, error) {
	prompt := fmt.Sprintf("p%d:100,q%d:900,%s:10", len(a.id)%3, len(a.id)%7, a.id)
	return standin.NewRequest(standin.RequestParams{
		URL: "http://" + addr + a.path, Host: host, ID: a.id, Key: a.key, Prompt: prompt, Deadline: a.deadline(), Tokens: a.tokens, Body: a.marked,
	})
}

func (w *world) ask(client *http.Client, addr string, a asked) asked {
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
		a.end = framing.Incomplete
	case res.ContentLength < 0 && len(res.TransferEncoding) == 0:
		a.end = framing.Closed
	default:
		a.end = framing.Complete
	}
	a.gaveUp = timedOut(err)
	return a
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
