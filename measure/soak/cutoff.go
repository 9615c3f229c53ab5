package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// CutOff cuts some gates off from the other gates and from the store, or stops their processes
// by SIGSTOP, around the start of a release. Unless they are stopped, their callers reach them and
// they reach engines. Gates that are cut off together reach each other.
//
// A cut covers the data of all connections. It does not cover their setup, since a link accepts
// connections during a cut, nor their ends: if one end closes a connection, the other notices.
const CutOff Kind = "cut_off"

// frozen is the variant of CutOff that stops the processes. The others are faults of links.
const frozen = "frozen"

var (
	cutOffVariants = []string{string(proxy.Cut), string(proxy.Cut), string(proxy.Resets), string(proxy.DropToTarget), string(proxy.DropFromTarget), string(proxy.Delayed), frozen, frozen}
	freezes        = []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second}
	// calmKinds are the steps of a calm run beside releases and the CutOff steps.
	calmKinds = []Kind{EngineFault, EngineFault, EngineFault, Reload, Compact, PublishConfig}
)

const (
	// maxCutOffLead limits the time from the start of a CutOff step to that of the release.
	maxCutOffLead = 300 * time.Millisecond
	// calmFor is how long there is one version before a release in a calm run: for longer than
	// callers may resume a stream, and gates start first.
	calmFor = 2*standin.RouteTimeout + 2500*time.Millisecond
	// minCalmCutOff leaves time for streams to begin at the next version: gates avoid engines
	// about a second after these left.
	minCalmCutOff = 1500 * time.Millisecond
	// renewPeriod is the time between two renewals of entries of engines.
	renewPeriod = 300 * time.Millisecond
	// maxLinkedGates limits the gates that reach each other over links, since each pair has
	// two. With more gates, CutOff cuts the store alone.
	maxLinkedGates = 24
)

// newCutOff draws a CutOff step that begins just before a given time. Its Count is 1 for a single
// gate, and maxIndex for a third of the gates.
func newCutOff(rng *rand.Rand, before, shortest time.Duration) Step {
	s := Step{Start: before - time.Duration(rng.Int64N(int64(maxCutOffLead))), Kind: CutOff, Index: rng.IntN(maxIndex), Count: 1}
	s.Variant = cutOffVariants[rng.IntN(len(cutOffVariants))]
	s.Duration = shortest + time.Duration(rng.Int64N(int64(longestStep-shortest)))
	if s.Variant == frozen {
		s.Duration = freezes[rng.IntN(len(freezes))]
	}
	if rng.IntN(2) == 0 {
		s.Count = maxIndex
	}
	return s
}

// pair is a gate and another one that it calls.
type pair struct{ from, to int }

// linkGates puts a link into each connection between two gates of a releasing play.
func (w *deployment) linkGates() error {
	if w.cfg.Play != Releasing || len(w.gates) > maxLinkedGates {
		return nil
	}
	w.peerLinks = map[pair]*proxy.Link{}
	for i, g := range w.gates {
		var links []string
		for j, to := range w.gates {
			if i == j {
				continue
			}
			l, err := proxy.New(to.peersAddr)
			if err != nil {
				return err
			}
			w.peerLinks[pair{i, j}] = l
			links = append(links, to.peersAddr+"="+l.Addr())
		}
		g.peerLinks = proxy.LinksEnv + "=" + strings.Join(links, " ")
	}
	return nil
}

// renewEntries publishes the entries of engines in service again and again, one after the other,
// as engines do. So gates know that their list is current until they are cut off.
func (w *deployment) renewEntries() {
	for n := 0; w.ctx.Err() == nil; n++ {
		time.Sleep(renewPeriod)
		w.mu.Lock()
		if i := n % len(w.engines); w.versions[i] != "" {
			w.publishEngine(i, "ready")
		}
		w.mu.Unlock()
	}
}

// gatesCutOff returns the numbers of the gates that a CutOff step affects, among n.
func (s Step) gatesCutOff(n int) []int {
	var gates []int
	for i := range min(s.Count, (n+2)/3) {
		gates = append(gates, (s.Index+i)%n)
	}
	return gates
}

// cutOff carries out a CutOff step.
func (w *deployment) cutOff(s Step) {
	gates := s.gatesCutOff(len(w.gates))
	if s.Variant != frozen {
		w.setCutOff(gates, proxy.Fault(s.Variant), gates)
		time.Sleep(s.Duration)
		w.setCutOff(gates, proxy.NoFault, nil)
		return
	}
	for _, g := range gates {
		w.gates[g].signal(syscall.SIGSTOP)
	}
	time.Sleep(s.Duration)
	for _, g := range gates {
		w.gates[g].signal(syscall.SIGCONT)
	}
}

// setCutOff sets the fault of the connections that gates open to the rest of the system, and its
// reverse for the others. Callers then prefer the gates outOfStep.
func (w *deployment) setCutOff(gates []int, f proxy.Fault, outOfStep []int) {
	w.mu.Lock()
	w.outOfStep = outOfStep
	w.mu.Unlock()
	for _, g := range gates {
		w.gates[g].store.SetFault(f)
	}
	for p, l := range w.peerLinks {
		if f, ok := p.cutOffFault(gates, f); ok {
			l.SetFault(f)
		}
	}
}

// cutOffFault returns the fault of the link of a pair if connections that gates open to others have
// the fault f. ok is false if the link joins two gates on the same side.
func (p pair) cutOffFault(gates []int, f proxy.Fault) (fault proxy.Fault, ok bool) {
	from, to := slices.Contains(gates, p.from), slices.Contains(gates, p.to)
	if to {
		f = f.Reversed()
	}
	return f, from != to
}
