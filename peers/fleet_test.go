package peers_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/peers"
)

// simRound is the time between two calls of an entry.
const simRound clock.Millis = 400

const (
	// simSeeds is how many of the entries are seeds, and simSeedInterval how many rounds
	// lie between two calls to a seed.
	simSeeds        = 3
	simSeedInterval = 15
)

// simFleet simulates entries that exchange messages without a network, on a simulated
// clock.
type simFleet struct {
	addrs  []string
	all    []*peers.Members
	byAddr map[string]int
	dead   map[int]bool
	now    clock.Millis
	round  int
	// loads counts the loads that each entry received.
	loads []int
	rng   *rand.Rand
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{byAddr: map[string]int{}, dead: map[int]bool{}, now: 1000, rng: rand.New(rand.NewPCG(1, uint64(n)))}
	f.loads = make([]int, n)
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d:8605", i%5, i/250, i%250)
		f.addrs, f.byAddr[addr] = append(f.addrs, addr), i
		f.all = append(f.all, peers.NewMembers(peers.Member{Addr: addr}))
	}
	return f
}

// advance runs exchanges for the duration d.
func (f *simFleet) advance(d clock.Millis) {
	for end := f.now + d; f.now < end; f.now += simRound {
		for _, i := range f.rng.Perm(len(f.all)) {
			if !f.dead[i] {
				f.ask(i)
				f.retryFailed(i)
			}
		}
		f.round++
	}
}

func (f *simFleet) ask(i int) {
	m := f.all[i]
	m.Expire(f.now)
	addr := m.NextPeer()
	if seed := f.rng.IntN(simSeeds); addr == "" || (f.round+i)%simSeedInterval == 0 {
		addr = f.addrs[seed]
	}
	f.exchange(i, addr)
}

// retryFailed lets an entry call a member whose last call failed.
func (f *simFleet) retryFailed(i int) {
	if addr := f.all[i].RandomFailed(); addr != "" {
		f.exchange(i, addr)
	}
}

func (f *simFleet) exchange(i int, addr string) {
	to := f.byAddr[addr]
	if to == i {
		return
	}
	if f.dead[to] {
		f.all[i].MarkFailed(addr, f.now)
		return
	}
	f.send(i, to)
	f.send(to, i)
	f.loads[to] += peers.RequestLoads
	f.loads[i] += peers.ResponseLoads
}

// send passes a message from one entry to another.
func (f *simFleet) send(from, to int) {
	for _, o := range f.all[from].Sample(f.now) {
		f.all[to].Update(o, f.now)
	}
	f.all[to].Unpack(f.all[from].Pack(f.now), f.now)
}

// kill stops a share of the entries.
func (f *simFleet) kill(share float64) {
	for _, i := range f.rng.Perm(len(f.all))[:int(share*float64(len(f.all)))] {
		f.dead[i] = true
	}
}

// view summarizes what the live entries believe.
type view struct {
	// minKnown and maxKnown bound how many entries one knows, relative to those that
	// live.
	minKnown, maxKnown float64
	// shares is the sum of the parts of a whole.
	shares float64
	// firsts counts the entries that take themselves to rank first.
	firsts int
}

func (f *simFleet) view() view {
	const whole = 1_000_000
	v := view{minKnown: 1 << 30}
	living := float64(len(f.all) - len(f.dead))
	for i, m := range f.all {
		if f.dead[i] {
			continue
		}
		part := float64(m.Count()) / living
		v.minKnown, v.maxKnown = min(v.minKnown, part), max(v.maxKnown, part)
		v.shares += float64(peers.NewShares(f.addrs[i], m.Others(), 0).Part(whole, "engine")) / whole
		if m.RanksFirst(f.now) {
			v.firsts++
		}
	}
	return v
}

// Hundreds of entries start together, each knowing three seeds, and a tenth dies later.
// Before members were packed, each entry knew 37 of 103 and 43 of 1,000, and shares added
// up to 2.3 and 19 times the whole.
func TestEachEntryKnowsAllOthers(t *testing.T) {
	for _, n := range []int{5, 27, 103, 300} {
		t.Run(fmt.Sprintf("entries=%d", n), func(t *testing.T) {
			t.Parallel()
			checkFleet(t, n)
		})
	}
}

// Guards against entries that restart after a loss of power and know only each other: the
// seeds are among them, and calls from the few survivors had failed for all of them.
func TestRestartedEntriesAreFoundByThoseThatKeptRunning(t *testing.T) {
	const entries, survivors = 30, 3
	f := newSimFleet(entries)
	f.advance(10_000)
	for i := range entries - survivors {
		f.dead[i] = true
	}
	f.advance(8000)
	for i := range entries - survivors {
		f.all[i] = peers.NewMembers(peers.Member{Addr: f.addrs[i]})
	}
	clear(f.dead)
	const rounds = 2
	f.advance(rounds * simRound)
	found := 0
	for _, m := range f.all[:entries-survivors] {
		if slices.ContainsFunc(f.addrs[entries-survivors:], func(addr string) bool { return slices.Contains(m.Others(), addr) }) {
			found++
		}
	}
	if want := (entries - survivors) / 2; found < want {
		t.Errorf("got %d of %d restarted entries that found a survivor after %d rounds, want at least %d", found, entries-survivors, rounds, want)
	}
}

// The planned fleet size takes minutes and is run by hand.
func BenchmarkEachEntryKnowsAllOthers(b *testing.B) {
	for _, n := range []int{1000, 3200} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				checkFleet(b, n)
			}
		})
	}
}

func checkFleet(tb testing.TB, n int) {
	f := newSimFleet(n)
	f.advance(30_000 + 30*clock.Millis(n))
	v := f.view()
	tb.Logf("%d entries without faults: %+v", n, v)
	if v.minKnown < 0.9 || v.maxKnown > 1.1 {
		tb.Errorf("got counts of %.2f to %.2f times the real number, want 0.9 to 1.1", v.minKnown, v.maxKnown)
	}
	if v.shares < 0.9 || v.shares > 1.1 {
		tb.Errorf("got shares that add up to %.2f, want 0.9 to 1.1", v.shares)
	}
	if v.firsts != 1 {
		tb.Errorf("got %d entries that take themselves to rank first, want 1", v.firsts)
	}
	f.kill(0.1)
	f.advance(5000)
	v = f.view()
	tb.Logf("%d entries 5 s after a tenth died: %+v", n, v)
	if v.minKnown < 0.8 || v.maxKnown > 1.2 {
		tb.Errorf("got counts of %.2f to %.2f times the real number 5 s after a tenth died, want 0.8 to 1.2", v.minKnown, v.maxKnown)
	}
}

// Covers the first seconds of traffic at a hundred entries. Each sees a hundredth of the
// traffic and learns the loads of engines mostly from others. Many entries call the same
// few, so those that no entry calls need enough loads in the responses that they get.
// With ten loads in each message they received 25 a second, and 3.2% of the requests of
// these seconds met an engine with over twice the mean load and three requests.
func TestEntriesThatAreNeverCalledReceiveLoads(t *testing.T) {
	const minRate, seconds = 50, 20
	f := newSimFleet(103)
	f.advance(30_000)
	clear(f.loads)
	f.advance(seconds * 1000)
	for i, n := range f.loads {
		if got := n / seconds; got < minRate {
			t.Errorf("got %d loads a second at entry %d, want at least %d", got, i, minRate)
		}
	}
}

func TestPackedMembersNeverAppearFresher(t *testing.T) {
	m := peers.NewMembers(peers.Member{Addr: "10.0.0.1:80"})
	m.Update(peers.Member{Addr: "10.0.0.2:80", Age: 1}, 10_000)
	to := peers.NewMembers(peers.Member{Addr: "10.0.0.3:80"})
	to.Unpack(m.Pack(10_003), 10_003)
	if got, want := to.Count(), 2; got != want {
		t.Fatalf("got %d members, want %d", got, want)
	}
	to.Expire(9999 + 30_001)
	if got, want := to.Count(), 1; got != want {
		t.Errorf("got %d members over 30 s after the last one was seen, want %d", got, want)
	}
}

// Input from a peer is limited in size and may be malformed.
func FuzzUnpack(f *testing.F) {
	m := peers.NewMembers(peers.Member{Addr: "10.0.0.1:80"})
	m.Update(peers.Member{Addr: "10.0.0.2:80"}, 1000)
	for _, s := range []string{"", "A", "AAAAAAAAAAA", "%", m.Pack(1000)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		m := peers.NewMembers(peers.Member{Addr: "10.0.0.1:80"})
		m.Unpack(text, 1000)
		if got := m.Count(); got > 17 || (got > 1 && m.NextPeer() == "") {
			t.Errorf("got %d members from %q, want at most 17, and one to call", got, text)
		}
	})
}

func TestLoadsSurviveEncoding(t *testing.T) {
	in := peers.Loads{{Incarnation: 7, Requests: 12, Age: 130}, {Incarnation: 1 << 31, Requests: 0, Age: 0}, {Incarnation: 9, Requests: 70_000, Age: 1}}
	text, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var got peers.Loads
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if want := in[:2]; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v: loads that do not fit are left out", got, want)
	}
	for _, text := range []string{`"%"`, `7`, `[{"e":"i-1"}]`, `null`, `"` + strings.Repeat("A", 300) + `"`} {
		if err := json.Unmarshal([]byte(text), &got); err != nil || len(got) != 0 {
			t.Errorf("got %v, %v from %s, want no loads", got, err, text)
		}
	}
}
