package engines

import "github.com/weldfall/weldfall/common/clock"

// Outcome is what became of a request at an engine, as far as it tells
// something about the engine.
type Outcome string

const (
	// Succeeded is a whole answer.
	Succeeded Outcome = "good"
	// Neutral says nothing: the caller left, or the deadline was short.
	Neutral Outcome = "neutral"
	// Failed is a failure of the engine, a broken or a wrong answer.
	Failed Outcome = "failed"
	// Refused is an engine that is full.
	Refused Outcome = "refused"
	// Unreachable is an engine that took no connection or fell silent.
	Unreachable Outcome = "unreachable"
	// Replaced is an engine that is not the one that is listed.
	Replaced Outcome = "departed"
)

// Bounds of suspicion.
const (
	// holdFor is how long an address is left alone at which another engine
	// answered: about one heartbeat, after which the list knows more.
	holdFor clock.Millis = 1000
	// rateHalfLife is how fast results are forgotten.
	rateHalfLife clock.Millis = 3000
	// rateLeast is the weight of results below which no rate is judged.
	rateLeast = 3.0
)

var rateFading = newFading(rateHalfLife)

// health is the record of an engine's results.
type health struct {
	// good and bad are sums of results, fading with rateHalfLife.
	good, bad float64
	at        clock.Millis
	// heldUntil is when an engine may be tried again that was not at its address.
	heldUntil clock.Millis
	// unreached is true from a failure to reach the engine until it is reached.
	unreached bool
}

func (h *health) fade(now clock.Millis) {
	if now <= h.at {
		return
	}
	w := rateFading.left(now - h.at)
	h.good *= w
	h.bad *= w
	h.at = now
}

// TrustChange is a change in what is believed of an engine.
type TrustChange string

const (
	// TrustUnchanged is no change.
	TrustUnchanged TrustChange = ""
	// Suspected engines could not be reached. They are left alone until they
	// are: the caller is to find out.
	Suspected TrustChange = "suspected"
	// Trusted engines were reached again.
	Trusted TrustChange = "trusted"
)

func (h *health) note(o Outcome, now clock.Millis) TrustChange {
	h.fade(now)
	switch o {
	case Succeeded:
		h.good++
		return h.reached()
	case Failed:
		h.bad++
	case Unreachable:
		h.bad++
		if !h.unreached {
			h.unreached = true
			return Suspected
		}
	case Replaced:
		h.bad++
		h.heldUntil = now + holdFor
	case Refused, Neutral:
	}
	return TrustUnchanged
}

// reached records that the engine took a connection.
func (h *health) reached() TrustChange {
	if !h.unreached {
		return TrustUnchanged
	}
	h.unreached = false
	return Trusted
}

// rate returns the share of failures, or zero if too little is known.
func (h *health) rate(now clock.Millis) float64 {
	h.fade(now)
	if h.good+h.bad < rateLeast {
		return 0
	}
	return h.bad / (h.good + h.bad)
}

func (h *health) held(now clock.Millis) bool { return h.unreached || now < h.heldUntil }
