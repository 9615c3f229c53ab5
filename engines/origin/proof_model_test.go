package origin_test

import (
	"flag"
	"math/bits"
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
)

// Number of steps of TestNoOrderOfStepsJoinsTwoVersions. For a longer run:
//
//	go test ./engines/origin -run TestNoOrderOfStepsJoinsTwoVersions -count=1 -v -steps 7
var modelSteps = flag.Int("steps", 5, "number of steps of TestNoOrderOfStepsJoinsTwoVersions")

// age is a time before now, in steps. Ages of oldest and more are the same: they are longer ago
// than anything that matters.
type age int8

const (
	modelEntries     = 3
	modelWindow      = 3
	modelLag         = 4
	oldest       age = modelWindow + modelLag + 2
	never        age = -1
)

func (a *age) grow() {
	if *a != never {
		*a = min(*a+1, oldest)
	}
}

func (a age) at() clock.Millis { return -clock.Millis(a) }

// modelEntry is an entry of the model. Versions are bits.
type modelEntry struct {
	// listed has the versions of its list, which the store confirmed asOf. It has missed no
	// change for knownFor and has had a list for believedFor.
	listed                      uint8
	asOf, knownFor, believedFor age
	// unlisted is when it learned that a version is no longer listed.
	unlisted [2]age
	// reachesStore is false while it is cut off from the store. Entries reach each other in the
	// same group.
	reachesStore bool
	group        uint8
	// known has the other entries that it knows, as bits.
	known uint8
	// hasRecord is true if it holds the record of the stream.
	hasRecord bool
}

// model is a state of a store, three entries and a stream of one of two versions.
type model struct {
	// listed has the versions that the store lists, and lastListed when each last was.
	listed     uint8
	lastListed [2]age
	// second is true once the second version was listed.
	second  bool
	entries [modelEntries]modelEntry
	// began is when the stream began, never if there is none, and version at which.
	began   age
	version uint8
}

// newModel returns a fleet in step that has known one version for long.
func newModel() model {
	m := model{listed: 1, lastListed: [2]age{0, oldest}, began: never}
	for i := range m.entries {
		m.entries[i] = modelEntry{listed: 1, asOf: oldest, knownFor: oldest, believedFor: oldest, unlisted: [2]age{oldest, oldest}, reachesStore: true}
	}
	m.meet()
	return m
}

// pass lets time pass by one step.
func (m *model) pass() {
	for v := range m.lastListed {
		m.lastListed[v].grow()
	}
	for i := range m.entries {
		e := &m.entries[i]
		for _, a := range []*age{&e.asOf, &e.knownFor, &e.believedFor, &e.unlisted[0], &e.unlisted[1]} {
			a.grow()
		}
	}
	if m.began.grow(); m.began > modelWindow {
		m.began, m.version = never, 0
		for i := range m.entries {
			m.entries[i].hasRecord = false
		}
	}
}

// meet lets entries of a group know each other.
func (m *model) meet() {
	for i := range m.entries {
		for j := range m.entries {
			if i != j && m.entries[i].group == m.entries[j].group {
				m.entries[i].known |= 1 << j
			}
		}
	}
}

// confirm reads the list at an entry. replaced is true if the store has no history.
func (m *model) confirm(i int, replaced bool) {
	e := &m.entries[i]
	first := e.believedFor == never
	for v := range m.lastListed {
		cameAndWent := !first && !replaced && m.lastListed[v] < e.asOf
		if m.listed&(1<<v) == 0 && (e.listed&(1<<v) != 0 || cameAndWent) {
			e.unlisted[v] = 0
		}
	}
	if first {
		e.believedFor = 0
	}
	if first || replaced {
		e.knownFor = 0
	}
	e.listed, e.asOf = m.listed, 0
}

// knowledge is what an entry knows, as a gate tells it. What happened in the step of its last
// read may have happened after that.
func (e modelEntry) knowledge() origin.Knowledge {
	const none clock.Millis = 100
	if e.listed != 1 && e.listed != 2 {
		return origin.Knowledge{Several: e.listed == 3, Since: none, AsOf: -none, BelievedSince: none}
	}
	other := e.unlisted[e.listed&1]
	return origin.Knowledge{
		Sole: [2]string{"v1", "v2"}[e.listed-1], Several: other <= modelWindow+modelLag,
		Since: min(e.knownFor, other).at(), BelievedSince: min(e.believedFor, other).at(), AsOf: e.asOf.at() - 1,
	}
}

// takeUp resumes the stream at an entry. A caller that does not name the attempt that began it
// leads to no record. It returns the version at which that continues the stream, "" if it is
// refused, and false if a record tells the version.
func (m model) takeUp(i int, named bool) (version string, proof origin.Proof, decided bool) {
	e := m.entries[i]
	if named && e.hasRecord {
		return "", "", false
	}
	ev := origin.Evidence{Window: modelWindow, Lag: modelLag, AllResponded: e.known != 0}
	for j, o := range m.entries {
		switch {
		case e.known&(1<<j) == 0:
			continue
		case o.group != e.group:
			ev.AllResponded = false
			continue
		case named && o.hasRecord:
			return "", "", false
		}
		ev.AllResponded = ev.AllResponded && bits.OnesCount8(o.known) == bits.OnesCount8(e.known)
		ev.Others = append(ev.Others, o.knowledge())
	}
	ev.Own = m.entries[i].knowledge()
	if e.reachesStore {
		// The read follows the request.
		m.pass()
		m.confirm(i, false)
		ev.Own = m.entries[i].knowledge()
		ev.ArrivedAt--
		for j := range ev.Others {
			k := &ev.Others[j]
			k.Since, k.BelievedSince, k.AsOf = k.Since-1, k.BelievedSince-1, k.AsOf-1
		}
	}
	version, proof = ev.SoleVersion()
	return version, proof, true
}

// next calls f with each state that follows, in the same step of time if sameTime is set.
func (m model) next(sameTime bool, f func(model)) {
	step := func(change func(n *model)) {
		n := m
		if !sameTime {
			n.pass()
		}
		change(&n)
		for v := range n.lastListed {
			if n.listed&(1<<v) != 0 {
				n.lastListed[v] = 0
			}
		}
		n.second = n.second || n.listed&2 != 0
		n.meet()
		f(n)
	}
	step(func(*model) {})
	for v := range 2 {
		step(func(n *model) { n.listed ^= 1 << v })
	}
	for i := range modelEntries {
		step(func(n *model) { n.entries[i].reachesStore = !n.entries[i].reachesStore })
		step(func(n *model) { n.entries[i].group ^= 1 })
		step(func(n *model) {
			e := &n.entries[i]
			*e = modelEntry{asOf: oldest, knownFor: never, believedFor: never, unlisted: [2]age{oldest, oldest}, reachesStore: e.reachesStore, group: e.group}
		})
		if m.entries[i].reachesStore {
			step(func(n *model) { n.confirm(i, false) })
			step(func(n *model) { n.confirm(i, true) })
		}
		for v := range uint8(2) {
			if e := m.entries[i]; m.began == never && e.asOf < modelLag && e.listed&(1<<v) != 0 {
				step(func(n *model) { n.begin(i, v) })
			}
		}
	}
}

// begin begins the stream at an entry, which tells the others of its group unless it knows one
// version alone.
func (m *model) begin(i int, version uint8) {
	e := &m.entries[i]
	m.began, m.version, e.hasRecord = 0, version, true
	if k := e.knowledge(); k.Sole != "" && !k.Several && k.BelievedSince <= -modelWindow {
		return
	}
	for j := range m.entries {
		if m.entries[j].group == e.group {
			m.entries[j].hasRecord = true
		}
	}
}

// modelResult counts the decisions of a model.
type modelResult struct {
	byProof map[origin.Proof]int
	// joined counts those that join two versions.
	joined int
	// inStep counts those of an entry in step where there was never a second version, and
	// refused those of them that refuse the stream.
	inStep, refused int
}

// decide resumes the stream at each entry.
func (r *modelResult) decide(t *testing.T, m model) {
	for i := range m.entries {
		for _, named := range []bool{true, false} {
			version, proof, decided := m.takeUp(i, named)
			if !decided {
				continue
			}
			r.byProof[proof]++
			if began := [2]string{"v1", "v2"}[m.version]; version != "" && version != began {
				if r.joined++; r.joined <= 3 {
					t.Errorf("got %s by %s at entry %d, named %t, for a stream that began at %s: %+v", version, proof, i, named, began, m)
				}
			}
			if e := m.entries[i]; !m.second && m.listed == 1 && e.reachesStore && e.knownFor == oldest {
				r.inStep++
				if version == "" {
					r.refused++
				}
			}
		}
	}
}

func newModelResult() *modelResult { return &modelResult{byProof: map[origin.Proof]int{}} }

// check checks that no decision joined two versions, and that an entry in step refused none.
func (r *modelResult) check(t *testing.T, states int) {
	t.Helper()
	t.Logf("%d states, decisions %v, joined %d; of one version in step %d, refused %d", states, r.byProof, r.joined, r.inStep, r.refused)
	if r.joined > 0 {
		t.Errorf("got %d decisions that join two versions, want none", r.joined)
	}
	if r.refused > 0 {
		t.Errorf("got %d of %d streams of one version refused by an entry in step, want none", r.refused, r.inStep)
	}
}

// Guards against a stream of two software versions in any order of up to a number of steps in
// which versions join and leave, entries are cut off from the store and from each other, read
// the list, lose its history or start again, and a stream begins and is resumed.
func TestNoOrderOfStepsJoinsTwoVersions(t *testing.T) {
	r := newModelResult()
	seen := map[model]bool{newModel(): true}
	latest := []model{newModel()}
	for range *modelSteps {
		var following []model
		for _, m := range latest {
			m.next(false, func(n model) {
				if !seen[n] {
					seen[n] = true
					following = append(following, n)
				}
			})
		}
		for _, m := range following {
			if m.began != never {
				r.decide(t, m)
			}
		}
		latest = following
	}
	r.check(t, len(seen))
}

// The same in drawn orders of many steps.
func TestNoDrawnOrderOfStepsJoinsTwoVersions(t *testing.T) {
	r := newModelResult()
	const walks, steps = 6000, 60
	for seed := range uint64(walks) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newModel()
		for range steps {
			var following []model
			m.next(rng.IntN(2) == 0, func(n model) { following = append(following, n) })
			if m = following[rng.IntN(len(following))]; m.began != never {
				r.decide(t, m)
			}
		}
	}
	r.check(t, walks*steps)
}
