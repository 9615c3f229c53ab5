package days

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// derivedPrefix is the prefix of the names of derived deployments. A seed follows.
const derivedPrefix = "derived-"

// parameter is a property of engines or callers that a derived deployment changes.
type parameter struct {
	name string
	// minFactor and maxFactor limit the factor of the change.
	minFactor, maxFactor float64
	apply                func(t tree, factor float64, rng *rand.Rand)
}

// scaler returns a function that scales the numbers of these names in a section of the site file.
func scaler(section string, names ...string) func(tree, float64, *rand.Rand) {
	return func(t tree, factor float64, _ *rand.Rand) { scale(t[section], factor, names...) }
}

// parameters has the properties of engines first, then those of the traffic.
var parameters = []parameter{
	{"reading", 0.35, 3, scaler("services", "prefill_tokens_per_ms")},
	{"step", 0.5, 3, scaler("services", "step_ms")},
	{"move", 0.03, 3, scaler("services", "link_mbps")},
	{"setup", 0.25, 50, scaler("services", "setup_ms")},
	{"memory", 0.125, 8, scaler("services", "kv_tokens")},
	{"slots", 0.35, 2, func(t tree, factor float64, _ *rand.Rand) { scaleModels(t, factor, "slots", "queue", "batch") }},
	{"reports", 2, 8, scaler("services", "report_lag_ms", "events_lag_ms")},
	{"mix", 0.3, 3, scaleMix},
	{"length", 0.35, 3, scalePrompts},
	{"heat", 0.2, 4, func(t tree, factor float64, _ *rand.Rand) { scale(t, factor, "skew") }},
	{"chats", 0.25, 4, func(t tree, factor float64, _ *rand.Rand) { scaleChats(t, factor) }},
	{"hours", 1.5, 3, func(t tree, factor float64, _ *rand.Rand) { scaleSwing(t, factor) }},
}

// minChange is the least change by a factor, up or down.
const minChange = 1.5

// derive changes one parameter of a site file for an odd seed and three for an even seed, both
// drawn from the seed. It returns the parameters with their factors.
func derive(t tree, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	n := 1
	if seed%2 == 0 {
		n = 3
	}
	var changes []string
	for _, i := range rng.Perm(len(parameters))[:n] {
		p := parameters[i]
		factor := p.drawFactor(rng)
		p.apply(t, factor, rng)
		changes = append(changes, fmt.Sprintf("%s x%.2g", p.name, factor))
	}
	return strings.Join(changes, ", ")
}

// drawFactor draws a factor whose logarithm is uniformly distributed, but none close to 1.
func (p parameter) drawFactor(rng *rand.Rand) float64 {
	for {
		factor := p.minFactor * math.Pow(p.maxFactor/p.minFactor, rng.Float64())
		if max(factor, 1/factor) >= minChange {
			return factor
		}
	}
}

// derivedSeed returns the seed in the name of a derived deployment.
func derivedSeed(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, derivedPrefix)
	if !ok {
		return 0, false
	}
	seed, err := strconv.ParseUint(digits, 10, 64)
	return seed, err == nil
}

// scaleModels scales numbers of the services with model engines, and of these engines.
func scaleModels(t tree, factor float64, names ...string) {
	walk(t["services"], func(s tree) {
		if s["llm"] != nil {
			scale(s, factor, names...)
		}
	})
}

// scaleMix scales the weight of each class in all traffic by a factor of its own, between factor
// and 1/factor.
func scaleMix(t tree, factor float64, rng *rand.Rand) {
	weights := map[string]float64{}
	walk(t["classes"], func(c tree) {
		if name, ok := c["name"].(string); ok {
			weights[name] = math.Pow(factor, 2*rng.Float64()-1)
		}
	})
	walk(t, func(traffic tree) {
		shares, _ := traffic["mix"].(tree)
		for name, w := range weights {
			scale(shares, w, name)
		}
	})
}

// scalePrompts scales the lengths of prompts, but not of responses.
func scalePrompts(t tree, factor float64, _ *rand.Rand) {
	walk(t["classes"], func(c tree) {
		for _, part := range []string{"prompt_tokens", "tokens"} {
			if lengths, ok := c[part].(tree); ok {
				scale(lengths, factor, "mean", "max")
			}
		}
	})
}

// scaleChats scales the number of chats of each class.
func scaleChats(t tree, factor float64) {
	walk(t["classes"], func(c tree) {
		if v, ok := c["things"].(int64); ok && (c["stream"] != nil || c["own"] != nil) {
			c["things"] = max(1, int64(math.Round(float64(v)*factor)))
		}
	})
}

// maxSwing is the maximum relative swing of traffic.
const maxSwing = 0.8

// scaleSwing scales the swing of traffic over the day.
func scaleSwing(t tree, factor float64) {
	walk(t, func(shape tree) {
		if v, ok := shape["swing"].(float64); ok {
			shape["swing"] = min(maxSwing, v*factor)
		}
	})
}
