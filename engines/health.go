package engines

import "github.com/weldfall/weldfall/common/clock"

// Outcome is the result of a request, as far as it says something about the engine.
type Outcome string

const (
	// Succeeded is a complete response.
	Succeeded Outcome = "good"
	// Neutral says nothing about the engine: the caller left or the deadline was short.
	Neutral Outcome = "neutral"
	// Failed is a failure of the engine, or an interrupted or wrong response.
	Failed Outcome = "failed"
	// Refused means that the engine was full.
	Refused Outcome = "refused"
	// Unreachable means that the engine accepted no connection or sent nothing.
	Unreachable Outcome = "unreachable"
	// Replaced means that another engine responded at the listed address.
	Replaced Outcome = "departed"
)

const (
	// replacedBackoff is how long an address is avoided after another engine responded
	// there: about one heartbeat, after which the listing is up to date.
	replacedBackoff clock.Millis = 1000
	// outcomeHalfLife is the half-life of outcomes in the failure rate.
	outcomeHalfLife clock.Millis = 3000
	// minOutcomes is the weight of outcomes below which the failure rate counts as zero.
	minOutcomes = 3.0
)

var outcomeDecay = newDecay(outcomeHalfLife)

// health is the record of the outcomes at an engine.
type health struct {
	// good and bad are sums of outcomes that decay with outcomeHalfLife.
	good, bad float64
	updatedAt clock.Millis
	// avoidUntil is the end of the backoff after another engine responded at the
	// address.
	avoidUntil clock.Millis
	// unreachable is true from a failure to reach the engine until it is reached.
	unreachable bool
}

// decay ages the sums to now.
func (h *health) decay(now clock.Millis) {
	if now <= h.updatedAt {
		return
	}
	w := outcomeDecay.weight(now - h.updatedAt)
	h.good *= w
	h.bad *= w
	h.updatedAt = now
}

// TrustChange is a change in the trust in an engine.
type TrustChange string

const (
	TrustUnchanged TrustChange = ""
	// Suspected means that the engine could not be reached. It gets no requests until
	// it is reached again, which the caller has to check.
	Suspected TrustChange = "suspected"
	// Trusted means that the engine was reached again.
	Trusted TrustChange = "trusted"
)

// record adds the outcome of a request.
func (h *health) record(o Outcome, now clock.Millis) TrustChange {
	h.decay(now)
	switch o {
	case Succeeded:
		h.good++
		return h.markReached()
	case Failed:
		h.bad++
	case Unreachable:
		h.bad++
		if !h.unreachable {
			h.unreachable = true
			return Suspected
		}
	case Replaced:
		h.bad++
		h.avoidUntil = now + replacedBackoff
	case Refused, Neutral:
	}
	return TrustUnchanged
}

// markReached records that the engine accepted a connection.
func (h *health) markReached() TrustChange {
	if !h.unreachable {
		return TrustUnchanged
	}
	h.unreachable = false
	return Trusted
}

// failureRate returns the share of failures, or zero if there are too few outcomes.
func (h *health) failureRate(now clock.Millis) float64 {
	h.decay(now)
	if h.good+h.bad < minOutcomes {
		return 0
	}
	return h.bad / (h.good + h.bad)
}

// avoided reports whether the engine gets no requests for now.
func (h *health) avoided(now clock.Millis) bool { return h.unreachable || now < h.avoidUntil }
