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

// simRound is the time between two questions of an entry.
const simRound clock.Millis = 400

const (
	// simSeeds is how many of all entries the settings name, and simSeedEvery how many
	// rounds lie between two questions to one of these.
	simSeeds     = 3
	simSeedEvery = 15
)

// simFleet is entries that talk without a network, in time that is handed in.
type simFleet struct {
	addrs  []string
	all    []*peers.Members
	byAddr map[string]int
	dead   map[int]bool
	now    clock.Millis
	round  int
	// heard counts the loads that each entry was told of.
	heard []int
	rng   *rand.Rand
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{byAddr: map[string]int{}, dead: map[int]bool{}, now: 1000, rng: rand.New(rand.NewPCG(1, uint64(n)))}
	f.heard = make([]int, n)
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d:8605", i%5, i/250, i%250)
		f.addrs, f.byAddr[addr] = append(f.addrs, addr), i
		f.all = append(f.all, peers.NewMembers(peers.Member{Addr: addr}))
	}
	return f
}

// pass lets entries talk for so long.
func (f *simFleet) pass(d clock.Millis) {
	for end := f.now + d; f.now < end; f.now += simRound {
		for _, i := range f.rng.Perm(len(f.all)) {
			if !f.dead[i] {
				f.ask(i)
				f.askLost(i)
			}
		}
		f.round++
	}
}

func (f *simFleet) ask(i int) {
	m := f.all[i]
	m.Expire(f.now)
	addr := m.NextPeer()
	if seed := f.rng.IntN(simSeeds); addr == "" || (f.round+i)%simSeedEvery == 0 {
		addr = f.addrs[seed]
	}
	f.askAt(i, addr)
}

// askLost has an entry ask one that it asked in vain.
func (f *simFleet) askLost(i int) {
	if addr := f.all[i].RandomFailed(); addr != "" {
		f.askAt(i, addr)
	}
}

func (f *simFleet) askAt(i int, addr string) {
	to := f.byAddr[addr]
	if to == i {
		return
	}
	if f.dead[to] {
		f.all[i].MarkFailed(addr, f.now)
		return
	}
	f.tell(i, to)
	f.tell(to, i)
	f.heard[to] += peers.LoadsAsked
	f.heard[i] += peers.LoadsTold
}

// tell has one entry hear what another knows.
func (f *simFleet) tell(from, to int) {
	for _, o := range f.all[from].Sample(f.now) {
		f.all[to].Update(o, f.now)
	}
	f.all[to].Unpack(f.all[from].Pack(f.now), f.now)
}

// kill ends a share of the entries.
func (f *simFleet) kill(share float64) {
	for _, i := range f.rng.Perm(len(f.all))[:int(share*float64(len(f.all)))] {
		f.dead[i] = true
	}
}

// view is what the entries that live believe.
type view struct {
	// least and most are how many entries one knows, as parts of those that live.
	least, most float64
	// shares is what the parts of a whole sum up to.
	shares float64
	// firsts is how many take themselves to be the first.
	firsts int
}

func (f *simFleet) view() view {
	const whole = 1_000_000
	v := view{least: 1 << 30}
	living := float64(len(f.all) - len(f.dead))
	for i, m := range f.all {
		if f.dead[i] {
			continue
		}
		part := float64(m.Count()) / living
		v.least, v.most = min(v.least, part), max(v.most, part)
		v.shares += float64(peers.NewShares(f.addrs[i], m.Others(), 0).Part(whole, "engine")) / whole
		if m.RanksFirst(f.now) {
			v.firsts++
		}
	}
	return v
}

// Hundreds of entries that start together, each knowing three, of which a tenth dies
// later. Before members were packed each knew 37 of 103 and 43 of 1,000, and shares
// summed up to 2.3 and 19 times the whole.
func TestEachEntryKnowsAllOthers(t *testing.T) {
	for _, n := range []int{5, 27, 103, 300} {
		t.Run(fmt.Sprintf("entries=%d", n), func(t *testing.T) {
			t.Parallel()
			checkFleet(t, n)
		})
	}
}

// Guards against entries that are back after a loss of power and know each other only: the
// seeds are among them, and the few that went on had asked all in vain.
func TestEntriesThatAreBackAreFoundByThoseThatWentOn(t *testing.T) {
	const entries, wentOn = 30, 3
	f := newSimFleet(entries)
	f.pass(10_000)
	for i := range entries - wentOn {
		f.dead[i] = true
	}
	f.pass(8000)
	for i := range entries - wentOn {
		f.all[i] = peers.NewMembers(peers.Member{Addr: f.addrs[i]})
	}
	clear(f.dead)
	const rounds = 2
	f.pass(rounds * simRound)
	know := 0
	for _, m := range f.all[:entries-wentOn] {
		if slices.ContainsFunc(f.addrs[entries-wentOn:], func(addr string) bool { return slices.Contains(m.Others(), addr) }) {
			know++
		}
	}
	if want := (entries - wentOn) / 2; know < want {
		t.Errorf("got %d of %d entries that are back and know one that went on after %d rounds, want %d", know, entries-wentOn, rounds, want)
	}
}

// The size of the plan is tried by hand: it takes minutes.
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
	f.pass(30_000 + 30*clock.Millis(n))
	v := f.view()
	tb.Logf("%d entries in a quiet minute: %+v", n, v)
	if v.least < 0.9 || v.most > 1.1 {
		tb.Errorf("got counts of %.2f to %.2f of the truth, want them within a tenth", v.least, v.most)
	}
	if v.shares < 0.9 || v.shares > 1.1 {
		tb.Errorf("got shares that sum up to %.2f, want 0.9 to 1.1", v.shares)
	}
	if v.firsts != 1 {
		tb.Errorf("got %d entries that take themselves to be first, want 1", v.firsts)
	}
	f.kill(0.1)
	f.pass(5000)
	v = f.view()
	tb.Logf("%d entries 5 s after a tenth died: %+v", n, v)
	if v.least < 0.8 || v.most > 1.2 {
		tb.Errorf("got counts of %.2f to %.2f of the truth 5 s after a tenth died, want them within a fifth", v.least, v.most)
	}
}

// The first seconds of traffic at a hundred entries, each of which sees a hundredth of it:
// what it believes of the load of engines is what others tell. Few entries are asked by
// many, so those that nobody asks must hear enough with their answers: with ten loads in
// each message they heard of 25 a second, and 3.2% of the requests of these seconds met
// an engine with over twice the mean and three.
func TestEntriesThatNobodyAsksHearOfLoads(t *testing.T) {
	const least, seconds = 50, 20
	f := newSimFleet(103)
	f.pass(30_000)
	clear(f.heard)
	f.pass(seconds * 1000)
	for i, n := range f.heard {
		if got := n / seconds; got < least {
			t.Errorf("got %d loads a second at entry %d, want at least %d", got, i, least)
		}
	}
}

func TestPackedMembersAreNeverTakenToBeFresher(t *testing.T) {
	m := peers.NewMembers(peers.Member{Addr: "10.0.0.1:80"})
	m.Update(peers.Member{Addr: "10.0.0.2:80", Age: 1}, 10_000)
	to := peers.NewMembers(peers.Member{Addr: "10.0.0.3:80"})
	to.Unpack(m.Pack(10_003), 10_003)
	if got, want := to.Count(), 2; got != want {
		t.Fatalf("got %d members, want %d", got, want)
	}
	to.Expire(9999 + 30_001)
	if got, want := to.Count(), 1; got != want {
		t.Errorf("got %d members over half a minute after the last sign, want %d", got, want)
	}
}

// What a peer sends is bounded and need not be what it should be.
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
			t.Errorf("got %d members of %q, want at most 17, and one to ask", got, text)
		}
	})
}

func TestLoadsArriveAsTheyWereTold(t *testing.T) {
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
		t.Errorf("got %v, want %v: what does not fit is left out", got, want)
	}
	for _, text := range []string{`"%"`, `7`, `[{"e":"i-1"}]`, `null`, `"` + strings.Repeat("A", 300) + `"`} {
		if err := json.Unmarshal([]byte(text), &got); err != nil || len(got) != 0 {
			t.Errorf("got %v, %v of %s, want no loads", got, err, text)
		}
	}
}
