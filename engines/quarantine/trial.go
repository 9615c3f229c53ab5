package quarantine

import "github.com/weldfall/weldfall/common/clock"

// StartTrial records the engine of a trial that this entry claimed. It does nothing if the
// claim is not held anymore.
func (l *List) StartTrial(d Digest, incarnation uint32, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		t := &l.get(d).trial
		t.incarnation, t.deadline = incarnation, now+TrialTimeout
		l.queue(l.get(d), true)
	}
}

// EndTrial records that this entry's trial of a suspect ended without a result. It does
// nothing if there is no such trial.
func (l *List) EndTrial(d Digest, now clock.Millis) {
	if l.OwnsTrial(d, now) {
		l.get(d).trial.deadline = now
		l.queue(l.get(d), true)
	}
}
