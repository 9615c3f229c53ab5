package turn

import "github.com/weldfall/weldfall/common/clock"

const (
	paceBucket clock.Millis = 125
	// paceBuckets is the number of buckets.
	paceBuckets int64 = 8
	// paceSpan is the time over which events are counted.
	paceSpan = paceBucket * clock.Millis(paceBuckets)
)

// pace counts events of the last second.
type pace struct {
	counts [paceBuckets]int
	// last is the number of the latest bucket since the start of the clock.
	last int64
	// since is when counting began.
	since clock.Millis
	used  bool
}

func (p *pace) record(now clock.Millis) {
	p.advance(now)
	p.counts[p.last%paceBuckets]++
}

func (p *pace) advance(now clock.Millis) {
	n := int64(now / paceBucket)
	if !p.used {
		p.used, p.since, p.last = true, now, n
		return
	}
	for i := max(p.last+1, n-paceBuckets+1); i <= n; i++ {
		p.counts[i%paceBuckets] = 0
	}
	p.last = max(p.last, n)
}

// count returns the number of events in the last second.
func (p *pace) count(now clock.Millis) int {
	p.advance(now)
	sum := 0
	for _, n := range p.counts {
		sum += n
	}
	return sum
}

// perMilli returns the events a millisecond in the last second, zero if there were none.
func (p *pace) perMilli(now clock.Millis) float64 {
	n := p.count(now)
	span := paceSpan - paceBucket + now%paceBucket
	return float64(n) / float64(max(paceBucket, min(span, now-p.since)))
}
