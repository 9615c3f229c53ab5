package gate

import "github.com/weldfall/weldfall/common/clock"

// entriesPeriod is the least time for which a number of entries counts after it was last known. An
// entry that is cut off for longer may use more than its part of what all entries share.
const entriesPeriod clock.Millis = 600_000

// recentMost is the largest number of entries known lately. An entry that loses contact to others
// cannot tell whether they ended, but it must not believe in them for good.
type recentMost struct {
	// current is the largest number in the period that began at since, previous that of the
	// period before.
	current, previous int
	since             clock.Millis
}

// record records a number of known entries, and reports whether most changed.
func (m *recentMost) record(n int, now clock.Millis) bool {
	before := m.most()
	if now-m.since >= entriesPeriod {
		m.current, m.previous, m.since = 0, m.current, now
	}
	m.current = max(m.current, n)
	return m.most() != before
}

// most returns the largest number, 0 before the first one.
func (m *recentMost) most() int { return max(m.current, m.previous) }
