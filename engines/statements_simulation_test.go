package engines_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/statement"
)

// speakingEngine is an engine of a simulation. It says what it wants whatever the list says.
type speakingEngine struct {
	info engines.Info
	// leavesAt is when it begins to leave, endsAt when it has ended; zero for never.
	leavesAt, endsAt clock.Millis
	// rests are the begins of its rests, which last restFor.
	rests   []clock.Millis
	restFor clock.Millis
}

// restLeft returns how long the engine rests from now on.
func (e *speakingEngine) restLeft(now clock.Millis) clock.Millis {
	for _, at := range e.rests {
		if now >= at && now < at+e.restFor {
			return at + e.restFor - now
		}
	}
	return 0
}

// statedEntry is an entry with the list as it was listLag ago.
type statedEntry struct {
	r       *engines.Registry
	listLag clock.Millis
	// told is when each incarnation first said to this entry that it leaves; restFrom and
	// restUntil are the last rest that it asked for.
	told, restFrom, restUntil map[string]clock.Millis
	inRest                    map[string]int
	// frozenUntil is until when the entry is suspended.
	frozenUntil clock.Millis
}

func newStatedEntry(lag clock.Millis) *statedEntry {
	return &statedEntry{r: engines.NewRegistry(), listLag: lag, told: map[string]clock.Millis{}, restFrom: map[string]clock.Millis{}, restUntil: map[string]clock.Millis{}, inRest: map[string]int{}}
}

const (
	statedLength clock.Millis = 20_000
	// statedDrain and statedRest are the bounds of the users' pages: requests after the first
	// statement that the engine leaves, and the time after a rejection until its rest counts.
	statedDrain clock.Millis = 2000
	statedRest  clock.Millis = 500
	// statedRestRequests is the number of requests that a rest may see.
	statedRestRequests = 2
	// statedWay is the longest time from the choice of an engine to the response.
	statedWay = 300
)

// statedArrival is a request on its way to an engine.
type statedArrival struct {
	at     clock.Millis
	gate   int
	engine *speakingEngine
}

// statedResult is what a simulation saw.
type statedResult struct{ requests, refused, roomy, late, overRest int }

// simulateStatements plays drawn engines that leave and rest, and drawn entries with old lists
// that restart and are suspended.
func simulateStatements(seed uint64) statedResult {
	rng := rand.New(rand.NewPCG(seed, 78))
	var es []*speakingEngine
	for i := range 3 + rng.IntN(6) {
		e := &speakingEngine{info: engines.Info{ID: fmt.Sprintf("i-%d", i), Service: "llm", Addr: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8, Version: "v1"}, restFor: clock.Millis(200 + rng.IntN(4000))}
		if rng.IntN(3) == 0 {
			e.leavesAt = clock.Millis(rng.IntN(int(statedLength)))
			e.endsAt = e.leavesAt + clock.Millis(2000+rng.IntN(10_000))
		}
		for range rng.IntN(3) {
			e.rests = append(e.rests, clock.Millis(rng.IntN(int(statedLength))))
		}
		es = append(es, e)
	}
	gates := make([]*statedEntry, 1+rng.IntN(3))
	for i := range gates {
		gates[i] = newStatedEntry(clock.Millis(rng.IntN(12_000)))
	}
	var onWay []statedArrival
	var res statedResult
	for now := clock.Millis(0); now < statedLength; now += 10 {
		for i, g := range gates {
			switch {
			case rng.IntN(1500) == 0:
				gates[i] = newStatedEntry(g.listLag)
			case rng.IntN(1500) == 0:
				g.frozenUntil = now + clock.Millis(rng.IntN(3000))
			}
			if g = gates[i]; now < g.frozenUntil {
				continue
			}
			if now%100 == 0 || len(g.r.IDs()) == 0 {
				g.readList(es, now)
			}
			res.requests++
			q := engines.Query{Service: "llm", Keys: []uint64{rng.Uint64N(40)}, Tokens: 5000, Bound: 2, Slack: 2, MaxSilence: statedLength, Random: rng.Float64()}
			c, ok := g.r.Choose(q, now)
			if !ok {
				res.refused++
				if g.hasRoom(es, now) {
					res.roomy++
				}
				continue
			}
			c.Engine.BeginRequest(now)
			for _, e := range es {
				if e.info.ID == c.Engine.Info().ID {
					onWay = append(onWay, statedArrival{now + clock.Millis(rng.IntN(statedWay)), i, e})
				}
			}
		}
		rest := onWay[:0]
		for _, a := range onWay {
			if a.at > now {
				rest = append(rest, a)
				continue
			}
			gates[a.gate].arrive(a.engine, now, &res)
		}
		onWay = rest
	}
	return res
}

// readList puts the list as it was listLag ago.
func (g *statedEntry) readList(es []*speakingEngine, now clock.Millis) {
	at := max(0, now-g.listLag)
	for _, e := range es {
		if e.endsAt > 0 && at >= e.endsAt {
			g.r.Remove(e.info.ID)
			continue
		}
		in := e.info
		in.Draining = e.leavesAt > 0 && at >= e.leavesAt
		g.r.Put(in, now)
	}
}

// hasRoom reports whether an engine that the gate lists wants requests. One that it was not
// told of counts too.
func (g *statedEntry) hasRoom(es []*speakingEngine, now clock.Millis) bool {
	for _, e := range es {
		leaves := e.leavesAt > 0 && now >= e.leavesAt
		if listed := g.r.Get(e.info.ID); listed != nil && !listed.Info().Draining && !leaves && e.restLeft(now) == 0 && now >= g.restUntil[e.info.ID] {
			return true
		}
	}
	return false
}

// arrive counts a request that reaches an engine against the bounds and records its response.
func (g *statedEntry) arrive(e *speakingEngine, now clock.Millis, res *statedResult) {
	id := e.info.ID
	if told, ok := g.told[id]; ok && now > told+statedDrain {
		res.late++
	}
	if now >= g.restFrom[id]+statedRest && now < g.restUntil[id] {
		if g.inRest[id]++; g.inRest[id] > statedRestRequests {
			res.overRest++
		}
	}
	said := statement.Said{Leaving: e.leavesAt > 0 && now >= e.leavesAt, Rest: e.restLeft(now)}
	if _, ok := g.told[id]; said.Leaving && !ok {
		g.told[id] = now
	}
	if said.Rest > 0 && now >= g.restUntil[id] {
		g.restFrom[id], g.restUntil[id], g.inRest[id] = now, now+said.Rest, 0
	}
	g.r.RecordStatement(e.info.Incarnation(), said, now)
	if l := g.r.Get(id); l != nil {
		l.RecordActivity(now)
		l.EndRequest(engines.Succeeded, now)
	}
}

// Guards against requests to engines that said that they leave or rest, by entries with lists
// of any age that restart and stand still, and against callers who are rejected beside an
// engine with room.
func TestDrawnEnginesThatLeaveOrRest(t *testing.T) {
	const seeds = 200
	var all statedResult
	for seed := range uint64(seeds) {
		r := simulateStatements(seed)
		all.requests += r.requests
		all.refused += r.refused
		if r.late > 0 || r.overRest > 0 || r.roomy > 0 {
			t.Errorf("seed %d: got %d late requests at engines that leave, %d beyond those that a rest may see, %d rejected beside an engine with room, want 0", seed, r.late, r.overRest, r.roomy)
		}
	}
	t.Logf("%d requests, %d rejected as all engines leave or rest", all.requests, all.refused)
}
