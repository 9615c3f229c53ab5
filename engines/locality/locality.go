// Package locality decides when a request leaves the data hall of the entry that accepted
// it, and how many do. It does no I/O: response times and the time are passed in, and the
// caller locks.
package locality

import (
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// Settings say what traffic between data halls costs. Halls are not heeded unless
// MegabyteMillis is above zero.
type Settings struct {
	// MegabyteMillis is how long a caller may wait to save a megabyte between halls, in
	// milliseconds.
	MegabyteMillis float64
	// MinAdvantageMillis is how much sooner a response from another hall must come, with
	// the price of its bytes, before requests begin to leave.
	MinAdvantageMillis float64
	// WayMillis is the time to another hall and back until responses show it.
	WayMillis float64
}

// Defaults for settings that are not set.
const (
	DefaultMinAdvantageMillis = 1
	DefaultWayMillis          = 2
)

// Enabled reports whether halls are heeded.
func (s Settings) Enabled() bool { return s.MegabyteMillis > 0 }

// Reason says why a request stayed in the entry's hall or left it.
type Reason string

const (
	// Stayed means that the request stayed in the hall.
	Stayed Reason = "stayed"
	// LeftEmpty means that the hall has no engine that can be chosen.
	LeftEmpty Reason = "left_empty"
	// LeftFull means that no engine of the hall has a free slot, and one of another has.
	LeftFull Reason = "left_full"
	// LeftLoaded means that the engine in the hall has more requests than one elsewhere, by
	// more than the way and the price of the bytes come to.
	LeftLoaded Reason = "left_loaded"
	// LeftSlow means that responses from other halls come sooner by more than their price.
	LeftSlow Reason = "left_slow"
)

// Room is what the choice knows of the engines that can be chosen.
type Room struct {
	// OwnSlots and OtherSlots are the slots in the entry's hall and in all others.
	OwnSlots, OtherSlots int
	// OwnLoad and OtherLoad are the least loads per slot.
	OwnLoad, OtherLoad float64
}

const (
	// timesHalfLife is the half-life of response times. The usual response time follows them
	// with usualFalls downwards and usualRises upwards, so that a busy while does not count
	// as usual.
	timesHalfLife clock.Millis = 1000
	usualFalls    clock.Millis = 1000
	usualRises    clock.Millis = 30_000
	// priorWeight is the number of responses that the expectation counts as.
	priorWeight = 2.0
	// moveTime is how long the leaving share takes to change by the relative advantage.
	moveTime clock.Millis = 500
	// endPart is the part of the least advantage below which the share falls.
	endPart = 0.5
	// lostTimes is the number of usual response times that a rejection or a failure counts
	// as.
	lostTimes = 5.0
	// rejectedElsewhere is the part of the share that remains after a rejection in
	// another hall.
	rejectedElsewhere = 0.5
	// maxStep bounds the time between two changes of the share.
	maxStep clock.Millis = 250
	// bytesWeight is the weight of a response in the mean size.
	bytesWeight = 0.1
	megabyte    = 1e6
)

// Spill learns how many of the requests of one service leave the entry's hall, from the
// response times on both sides.
//
// The share that leaves moves in small steps towards the point at which both sides take
// equally long, the price of the way included. It never exceeds the part of the slots that
// are in other halls: an entry sends them no more than one that knows of no halls.
type Spill struct {
	cfg        Settings
	own, other times
	// usual is the response time in the hall while it is not busy, zero if it is unknown.
	usual float64
	// bytes is the mean number of bytes of a request and its response.
	bytes float64
	// share is the share of requests that leave, from 0 to 1.
	share     float64
	updatedAt clock.Millis
}

// New returns a Spill that lets no request leave until responses show that it pays.
func New(cfg Settings) *Spill { return &Spill{cfg: cfg} }

// Observe records that an engine responded after the given time, with the bytes of the
// request and the response. own says whether the engine is in the entry's hall.
func (s *Spill) Observe(own bool, took clock.Millis, bytes int64, now clock.Millis) {
	if s.bytes == 0 {
		s.bytes = float64(bytes)
	}
	s.bytes += bytesWeight * (float64(bytes) - s.bytes)
	s.add(own, float64(took), now)
	s.update(now)
}

// ObserveFailed records that an engine failed a request.
func (s *Spill) ObserveFailed(own bool, now clock.Millis) {
	s.add(own, lostTimes*max(1, s.usual), now)
	s.update(now)
}

// ObserveGone records that a caller left after the given time without a response.
func (s *Spill) ObserveGone(own bool, after, now clock.Millis) {
	s.add(own, float64(after), now)
	s.update(now)
}

// ObserveRejected records that an engine rejected a request because it was full.
func (s *Spill) ObserveRejected(own bool, now clock.Millis) {
	s.ObserveFailed(own, now)
	if !own {
		s.share *= rejectedElsewhere
	}
}

func (s *Spill) add(own bool, took float64, now clock.Millis) {
	if own {
		s.own.add(took, now)
		return
	}
	s.other.add(took, now)
}

// Share returns the share of requests that leave while there is room on both sides.
func (s *Spill) Share() float64 { return s.share }

// Decide returns whether a request stays. random is from 0 up to, but not including, 1.
func (s *Spill) Decide(r Room, random float64) Reason {
	switch {
	case r.OwnSlots == 0:
		return LeftEmpty
	case r.OtherSlots == 0:
		return Stayed
	case r.OwnLoad >= 1 && r.OtherLoad < 1:
		return LeftFull
	case s.usual*(r.OwnLoad-r.OtherLoad) > s.cfg.WayMillis+s.price()+s.cfg.MinAdvantageMillis:
		return LeftLoaded
	case random < min(s.share, float64(r.OtherSlots)/float64(r.OwnSlots+r.OtherSlots)):
		return LeftSlow
	}
	return Stayed
}

// update moves the share by what the response times of both sides say.
func (s *Spill) update(now clock.Millis) {
	step := min(maxStep, now-s.updatedAt)
	if step <= 0 {
		return
	}
	s.updatedAt = now
	own, ownDoubt := s.own.estimate(s.usual, now)
	s.learnUsual(own, step)
	other, otherDoubt := s.other.estimate(min(own, s.usual)+s.cfg.WayMillis, now)
	needed := s.cfg.MinAdvantageMillis + math.Hypot(ownDoubt, otherDoubt)
	switch advantage := own - other - s.price(); {
	case advantage > needed:
		s.share = min(1, s.share+float64(step)/float64(moveTime)*(advantage-needed)/own)
	case advantage < endPart*needed:
		s.share = max(0, s.share-float64(step)/float64(moveTime)*(endPart*needed-advantage)/own)
	}
}

// price returns what the bytes of a request are worth between halls, in milliseconds.
func (s *Spill) price() float64 { return s.cfg.MegabyteMillis * s.bytes / megabyte }

// learnUsual moves the usual response time towards the present one.
func (s *Spill) learnUsual(own float64, step clock.Millis) {
	if s.own.weight == 0 {
		return
	}
	if s.usual == 0 {
		s.usual = s.own.mean
	}
	halfLife := usualRises
	if own < s.usual {
		halfLife = usualFalls
	}
	s.usual += (own - s.usual) * (1 - math.Exp2(-float64(step)/float64(halfLife)))
}

// times is a decaying mean of response times.
type times struct {
	mean, variance float64
	// weight is the number of times that the mean stands for.
	weight float64
	at     clock.Millis
}

func (t *times) add(v float64, now clock.Millis) {
	t.weight = t.weight*math.Exp2(-float64(max(0, now-t.at))/float64(timesHalfLife)) + 1
	t.at = max(t.at, now)
	d := v - t.mean
	t.mean += d / t.weight
	t.variance += (d*(v-t.mean) - t.variance) / t.weight
}

// estimate returns the mean, drawn towards the given expectation the less the mean stands
// for, and its standard error.
func (t *times) estimate(expected float64, now clock.Millis) (mean, doubt float64) {
	w := t.weight * math.Exp2(-float64(max(0, now-t.at))/float64(timesHalfLife))
	n := w + priorWeight
	return (t.mean*w + expected*priorWeight) / n, math.Sqrt(t.variance / n)
}
