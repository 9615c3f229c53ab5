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
	// startSeconds is the length of the start of a day.
	startSeconds = 2.0
	// The score limits and the floor are low, so that only broken rules count. The
	// score of a day means nothing.
	scoreOne, scoreZero, scoreFloor = 0.9, 0.2, 0.1
)

// Day is a day file of the bench.
type Day struct {
	// Label groups days in the report: a kind with its variant, or a pattern of stops.
	Label string `toml:"-"`
	// Seed is used to draw the day and to run it.
	Seed   uint64         `toml:"-"`
	Name   string         `toml:"name"`
	Slot   string         `toml:"slot"`
	One    float64        `toml:"one"`
	Zero   float64        `toml:"zero"`
	Goal   map[string]any `toml:"goal"`
	Plan   []Trouble      `toml:"plan,omitempty"`
	Faults []Trouble      `toml:"faults,omitempty"`
}

// TOML returns the contents of the day file.
func (d Day) TOML() ([]byte, error) { return toml.Marshal(map[string][]Day{"day": {d}}) }

// Path returns the path of the day file in dir.
func (d Day) Path(dir string) string { return filepath.Join(dir, d.Name+".toml") }

// Write writes the day file into dir.
func (d Day) Write(dir string) error {
	text, err := d.TOML()
	if err != nil {
		return err
	}
	return os.WriteFile(d.Path(dir), text, 0o644)
}

// newDay returns a day with the troubles, split into planned work and faults.
func (s Site) newDay(label, shape string, seed uint64, troubles []Trouble) Day {
	name := strings.NewReplacer(" ", "-", "/", "-").Replace(fmt.Sprintf("%s-%s-%d", label, shape, seed))
	d := Day{Label: label, Seed: seed, Name: name, Slot: "trouble", One: scoreOne, Zero: scoreZero, Goal: map[string]any{"floor": scoreFloor}}
	for _, t := range troubles {
		if slices.Contains(s.Planned, t.text("kind")) {
			d.Plan = append(d.Plan, t)
		} else {
			d.Faults = append(d.Faults, t)
		}
	}
	return d
}

// Template is a trouble of a kind and variant, without a time.
type Template struct {
	entry Trouble
	// span is its duration in seconds, at most a third of the day. share is the
	// bench's default, 0 if the entry has its own share or count.
	span, share float64
}

// Label returns the kind, the variant, and the machines that it is limited to.
func (tmpl Template) Label() string {
	return strings.Join(strings.Fields(tmpl.entry.text("kind")+" "+tmpl.entry.text("how")+" "+tmpl.entry.text("on")), "/")
}

// Templates returns a template for each kind without a variant, for each kind with each of its
// variants, and for each trouble of the site. Each label occurs once.
func (s Site) Templates(kinds []Kind) (all []Template) {
	for _, k := range kinds {
		seen := map[string]bool{}
		own := slices.DeleteFunc(slices.Clone(s.Troubles), func(t Trouble) bool { return t["kind"] != k.Name })
		var fromBench []Trouble
		for _, how := range append([]string{""}, k.Variants...) {
			fromBench = append(fromBench, Trouble{"kind": k.Name, "how": how})
		}
		for _, t := range append(fromBench, own...) {
			if tmpl := s.template(k, t, own); !seen[tmpl.Label()] {
				seen[tmpl.Label()] = true
				all = append(all, tmpl)
			}
		}
	}
	return all
}

// template returns the template of t. It uses the site's own trouble of the same kind, variant
// and machines if there is one. Otherwise it takes the share, count and x that have no default
// from the site's first trouble of the kind.
func (s Site) template(k Kind, t Trouble, own []Trouble) Template {
	if i := slices.IndexFunc(own, func(o Trouble) bool { return o.text("how") == t.text("how") && o["on"] == t["on"] }); i >= 0 {
		t = maps.Clone(own[i])
	} else if len(own) > 0 {
		for _, field := range []string{"share", "count", "x"} {
			if _, ok := k.Defaults[field]; !ok && own[0][field] != nil {
				t[field] = own[0][field]
			}
		}
	}
	tmpl := Template{entry: t, span: min(cmp.Or(t.num("for_s"), k.Defaults["for_s"]), s.Length/3)}
	if t["for_s"] != nil {
		t["for_s"] = round2(tmpl.span)
	}
	if t["share"] == nil && t["count"] == nil {
		tmpl.share = k.Defaults["share"]
	}
	return tmpl
}

// schedule returns the entry at a time, moved so that it ends within the day. A default
// share is varied by a factor of 0.7 to 1.5.
func (s Site) schedule(r *rand.Rand, tmpl Template, at float64) Trouble {
	t := maps.Clone(tmpl.entry)
	t["at"] = round2(max(0, min(at, s.Length-tmpl.span)))
	if tmpl.share > 0 {
		t["share"] = round2(min(1, tmpl.share*uniform(r, 0.7, 1.5)))
	}
	return t
}

// Options selects the days to draw. Its fields are arguments of a command.
type Options struct {
	Seed    uint64   `arg:"--seed" default:"1" help:"first seed"`
	Seeds   uint64   `arg:"--seeds" default:"1" help:"number of seeds"`
	Shapes  []string `arg:"--shapes" help:"alone first end twice over pair; default: all, or none with --stop"`
	Only    []string `arg:"--only" help:"kinds, or labels of the report, to keep"`
	Random  int      `arg:"--random" help:"number of days to keep, chosen at random by the seed; 0 keeps all"`
	Stop    string   `arg:"--stop" help:"kind that stops entries; draws days of planned stops"`
	Beside  []string `arg:"--beside" help:"planned kinds that occur during the stops"`
	Under   []string `arg:"--under" help:"kinds that last throughout the stops"`
	Planned []string `arg:"--planned" help:"additional kinds that count as planned work"`
}

// shapes are the arrangements of the troubles of a day. The first trouble starts between the
// fractions from and to of the day. A second one starts minGap to maxGap spans later, if
// maxGap is not 0.
var shapes = map[string]struct{ from, to, minGap, maxGap float64 }{
	"alone": {0.1, 0.9, 0, 0}, "first": {0, 0, 0, 0}, "end": {1, 1, 0, 0},
	"twice": {0.1, 0.4, 1, 1.4}, "over": {0.1, 0.6, 0.2, 0.8}, "pair": {0.1, 0.6, 0, 1},
}

// Draw returns the selected days. It returns the same days for the same seeds.
func (s Site) Draw(kinds []Kind, opts Options) (all []Day, err error) {
	s.Planned = append(slices.Clone(s.Planned), opts.Planned...)
	templates := s.Templates(kinds)
	if len(opts.Shapes) == 0 && opts.Stop == "" {
		opts.Shapes = slices.Sorted(maps.Keys(shapes))
	}
	for seed := opts.Seed; seed < opts.Seed+opts.Seeds; seed++ {
		for _, shape := range opts.Shapes {
			if _, ok := shapes[shape]; !ok {
				return nil, fmt.Errorf("unknown shape %q; the shapes are %s", shape, slices.Sorted(maps.Keys(shapes)))
			}
			for _, tmpl := range templates {
				all = append(all, s.newDay(tmpl.Label(), shape, seed, s.troubles(newRand(seed, shape+tmpl.Label()), shape, tmpl, templates)))
			}
		}
		stops, err := s.stops(opts, templates, seed)
		if err != nil {
			return nil, err
		}
		all = append(all, stops...)
	}
	all = slices.DeleteFunc(all, func(d Day) bool {
		kind, _, _ := strings.Cut(d.Label, "/")
		return len(opts.Only) > 0 && !slices.Contains(opts.Only, kind) && !slices.Contains(opts.Only, d.Label)
	})
	if opts.Random > 0 {
		newRand(opts.Seed, "random").Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:min(opts.Random, len(all))]
	}
	if len(all) == 0 {
		return nil, errors.New("no days match; list the days without --only, and use at least one seed")
	}
	return all, nil
}

// troubles returns the troubles of a day that has this shape.
func (s Site) troubles(r *rand.Rand, shape string, tmpl Template, others []Template) []Trouble {
	p := shapes[shape]
	at := uniform(r, p.from, p.to) * s.Length
	if shape == "first" {
		at = uniform(r, 0, startSeconds)
	}
	all := []Trouble{s.schedule(r, tmpl, at)}
	at = all[0].num("at") + tmpl.span*uniform(r, p.minGap, p.maxGap)
	if shape == "pair" {
		tmpl = others[r.IntN(len(others))]
	}
	if p.maxGap > 0 {
		all = append(all, s.schedule(r, tmpl, at))
	}
	return all
}

// newRand returns a generator that depends only on the seed and the name.
func newRand(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func uniform(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*max(0, high-low) }

// round2 rounds to hundredths, which keeps day files readable.
func round2(v float64) float64 { return math.Round(v*100) / 100 }
