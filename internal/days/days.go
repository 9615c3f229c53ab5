package days

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

const (
	// firstSpan is how many seconds count as the beginning of a day.
	firstSpan = 2.0
	// The marks and the floor of a day are low, so that it counts for the rules
	// that it breaks; its score says nothing.
	markOne, markZero, dayFloor = 0.9, 0.2, 0.1
)

// Day is a day of the bench.
type Day struct {
	// Label is what it is counted under: a kind with its variant, or a shape.
	Label string `toml:"-"`
	// Seed is what it was drawn from and is played with.
	Seed   uint64         `toml:"-"`
	Name   string         `toml:"name"`
	Slot   string         `toml:"slot"`
	One    float64        `toml:"one"`
	Zero   float64        `toml:"zero"`
	Goal   map[string]any `toml:"goal"`
	Plan   []Trouble      `toml:"plan,omitempty"`
	Faults []Trouble      `toml:"faults,omitempty"`
}

// TOML returns the text of the day file.
func (d Day) TOML() ([]byte, error) { return toml.Marshal(map[string][]Day{"day": {d}}) }

// Path returns that of the day file in dir.
func (d Day) Path(dir string) string { return filepath.Join(dir, d.Name+".toml") }

// Write writes the day file into dir.
func (d Day) Write(dir string) error {
	text, err := d.TOML()
	if err != nil {
		return err
	}
	return os.WriteFile(d.Path(dir), text, 0o644)
}

// day sorts troubles into planned work and the rest.
func (s Site) day(label, shape string, seed uint64, troubles []Trouble) Day {
	name := strings.NewReplacer(" ", "-", "/", "-").Replace(fmt.Sprintf("%s-%s-%d", label, shape, seed))
	d := Day{Label: label, Seed: seed, Name: name, Slot: "trouble", One: markOne, Zero: markZero, Goal: map[string]any{"floor": dayFloor}}
	for _, t := range troubles {
		if slices.Contains(s.Planned, t.text("kind")) {
			d.Plan = append(d.Plan, t)
		} else {
			d.Faults = append(d.Faults, t)
		}
	}
	return d
}

// Template is a kind with one of its variants, as an entry without a time.
type Template struct {
	entry Trouble
	// span is for how many seconds it lasts, a third of the day at most; share
	// is the bench's own figure, 0 where the entry holds one.
	span, share float64
}

// Label returns kind, variant and the machines that it is bound to.
func (v Template) Label() string {
	return strings.Join(strings.Fields(v.entry.text("kind")+" "+v.entry.text("how")+" "+v.entry.text("on")), "/")
}

// Templates returns each kind alone, with each of its own variants, and as the
// site's own entries have it; each label once.
func (s Site) Templates(kinds []Kind) (all []Template) {
	for _, k := range kinds {
		seen := map[string]bool{}
		own := slices.DeleteFunc(slices.Clone(s.Troubles), func(t Trouble) bool { return t["kind"] != k.Name })
		var wanted []Trouble
		for _, how := range append([]string{""}, k.Variants...) {
			wanted = append(wanted, Trouble{"kind": k.Name, "how": how})
		}
		for _, t := range append(wanted, own...) {
			if v := s.variant(k, t, own); !seen[v.Label()] {
				seen[v.Label()] = true
				all = append(all, v)
			}
		}
	}
	return all
}

// variant takes the site's entry of that variant; without one it takes what the
// bench has no figure for from the site's first entry of the kind.
func (s Site) variant(k Kind, t Trouble, own []Trouble) Template {
	if i := slices.IndexFunc(own, func(o Trouble) bool { return o.text("how") == t.text("how") && o["on"] == t["on"] }); i >= 0 {
		t = maps.Clone(own[i])
	} else if len(own) > 0 {
		for _, field := range []string{"share", "count", "x"} {
			if _, ok := k.Defaults[field]; !ok && own[0][field] != nil {
				t[field] = own[0][field]
			}
		}
	}
	v := Template{entry: t, span: min(cmp.Or(t.num("for_s"), k.Defaults["for_s"]), s.Length/3)}
	if t["for_s"] != nil {
		t["for_s"] = hundredths(v.span)
	}
	if t["share"] == nil && t["count"] == nil {
		v.share = k.Defaults["share"]
	}
	return v
}

// at returns the entry at a time, moved so that it ends within the day. A share
// that is the bench's own is drawn around it.
func (s Site) at(r *rand.Rand, v Template, at float64) Trouble {
	t := maps.Clone(v.entry)
	t["at"] = hundredths(max(0, min(at, s.Length-v.span)))
	if v.share > 0 {
		t["share"] = hundredths(min(1, v.share*between(r, 0.7, 1.5)))
	}
	return t
}

// Options says which days to draw; its fields are arguments of a command.
type Options struct {
	Seed    uint64   `arg:"--seed" default:"1" help:"first seed"`
	Seeds   uint64   `arg:"--seeds" default:"1" help:"number of seeds"`
	Shapes  []string `arg:"--shapes" help:"alone first end twice over pair; all if left out, none with --stop"`
	Only    []string `arg:"--only" help:"kinds, or labels of the table, to keep"`
	Random  int      `arg:"--random" help:"keep so many, drawn with the seed; 0 keeps all"`
	Stop    string   `arg:"--stop" help:"kind that stops entries: days of planned stops"`
	Beside  []string `arg:"--beside" help:"planned kinds for days with stops"`
	Under   []string `arg:"--under" help:"lasting kinds for days with stops"`
	Planned []string `arg:"--planned" help:"kinds of planned work that no day of the site plans"`
}

// shapes are the ways in which the troubles of a day lie to each other: the
// first begins in the part of the day from..to, and a second so many spans
// after it.
var shapes = map[string]struct{ from, to, low, high float64 }{
	"alone": {0.1, 0.9, 0, 0}, "first": {0, 0, 0, 0}, "end": {1, 1, 0, 0},
	"twice": {0.1, 0.4, 1, 1.4}, "over": {0.1, 0.6, 0.2, 0.8}, "pair": {0.1, 0.6, 0, 1},
}

// Draw returns the days that are wanted; the same ones for the same seeds.
func (s Site) Draw(kinds []Kind, w Options) (all []Day, err error) {
	s.Planned = append(slices.Clone(s.Planned), w.Planned...)
	variants := s.Templates(kinds)
	if len(w.Shapes) == 0 && w.Stop == "" {
		w.Shapes = slices.Sorted(maps.Keys(shapes))
	}
	for seed := w.Seed; seed < w.Seed+w.Seeds; seed++ {
		for _, shape := range w.Shapes {
			if _, ok := shapes[shape]; !ok {
				return nil, fmt.Errorf("no shape %q; there are %s", shape, slices.Sorted(maps.Keys(shapes)))
			}
			for _, v := range variants {
				all = append(all, s.day(v.Label(), shape, seed, s.lay(source(seed, shape+v.Label()), shape, v, variants)))
			}
		}
		stops, err := s.stops(w, variants, seed)
		if err != nil {
			return nil, err
		}
		all = append(all, stops...)
	}
	all = slices.DeleteFunc(all, func(d Day) bool {
		kind, _, _ := strings.Cut(d.Label, "/")
		return len(w.Only) > 0 && !slices.Contains(w.Only, kind) && !slices.Contains(w.Only, d.Label)
	})
	if w.Random > 0 {
		source(w.Seed, "random").Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:min(w.Random, len(all))]
	}
	if len(all) == 0 {
		return nil, errors.New("no day is left; list the days without --only, and give one seed or more")
	}
	return all, nil
}

func (s Site) lay(r *rand.Rand, shape string, v Template, others []Template) []Trouble {
	p := shapes[shape]
	at := between(r, p.from, p.to) * s.Length
	if shape == "first" {
		at = between(r, 0, firstSpan)
	}
	all := []Trouble{s.at(r, v, at)}
	at = all[0].num("at") + v.span*between(r, p.low, p.high)
	if shape == "pair" {
		v = others[r.IntN(len(others))]
	}
	if p.high > 0 {
		all = append(all, s.at(r, v, at))
	}
	return all
}

// source gives the same luck for the same seed and name.
func source(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func between(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*max(0, high-low) }

// hundredths keeps a day file readable.
func hundredths(v float64) float64 { return math.Round(v*100) / 100 }
