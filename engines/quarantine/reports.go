package quarantine

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// MaxReports limits the reports in one message.
	MaxReports = 32
	// maxPackedBytes limits a message before its encoding as text. It has room for MaxReports
	// complete reports.
	maxPackedBytes = 4096
	// correctionInterval is the minimum time between two corrections of peers that seem to
	// have missed a success, which is several rounds of comparisons.
	correctionInterval clock.Millis = 1000
	// maxOutbox limits the pending reports.
	maxOutbox = 256
)

// Report is what entries tell each other about one request, or one part of prompts. All times
// are relative.
type Report struct {
	Digest      Digest
	Fingerprint uint32
	// Part is true for a part of prompts.
	Part    bool
	Crashes []ReportedCrash
	// Success is the latest success, nil if none is known.
	Success *ReportedSuccess
	// Trial is the latest trial, nil if none is running or ended recently.
	Trial *ReportedTrial
}

// ReportedCrash is the crash of an engine that ran the request.
type ReportedCrash struct {
	ID uint32
	// Incarnation is the hash of the engine's incarnation.
	Incarnation uint32
	// Age is the time since the crash.
	Age clock.Millis
	// Trial is true if the engine ran the request as a trial.
	Trial bool
	// Unresponsive is true if the only evidence is that the engine became unresponsive.
	Unresponsive bool
}

// ReportedSuccess is a successful run of the request.
type ReportedSuccess struct {
	ID  uint32
	Age clock.Millis
}

// ReportedTrial is a trial of the request.
type ReportedTrial struct {
	// ID identifies the trial, Incarnation is the hash of the engine's incarnation.
	ID, Incarnation uint32
	// Remaining is the time until the deadline of the trial, zero or less if it is over.
	Remaining clock.Millis
}

// Reports are the reports of one message.
type Reports []Report

// Flags of a packed report. The low bits hold the number of crashes.
const (
	flagSuccess      = 0x40
	flagTrial        = 0x80
	flagUnresponsive = 0x10
	flagPart         = 0x20
	crashCountMask   = 0x0f
)

// Pack encodes reports as text, "" if there are none. A request with one strike takes 28
// bytes before the encoding as text.
func (rs Reports) Pack() string {
	var b []byte
	for _, r := range rs {
		b = r.pack(b)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

func (r Report) pack(b []byte) []byte {
	b = append(b, r.Digest[:]...)
	b = binary.BigEndian.AppendUint32(b, r.Fingerprint)
	flags := byte(len(r.Crashes))
	if r.Success != nil {
		flags |= flagSuccess
	}
	if r.Trial != nil {
		flags |= flagTrial
	}
	if r.Part {
		flags |= flagPart
	}
	unresponsive := r.unresponsiveBits()
	if unresponsive != 0 {
		flags |= flagUnresponsive
	}
	b = append(b, flags)
	for _, c := range r.Crashes {
		b = binary.BigEndian.AppendUint32(b, c.ID)
		b = binary.BigEndian.AppendUint32(b, c.Incarnation)
		b = binary.AppendUvarint(b, uint64(max(0, c.Age))<<1|uint64(bit(c.Trial)))
	}
	if unresponsive != 0 {
		b = append(b, unresponsive)
	}
	if r.Success != nil {
		b = binary.BigEndian.AppendUint32(b, r.Success.ID)
		b = binary.AppendUvarint(b, uint64(max(0, r.Success.Age)))
	}
	if r.Trial != nil {
		b = binary.BigEndian.AppendUint32(b, r.Trial.ID)
		b = binary.BigEndian.AppendUint32(b, r.Trial.Incarnation)
		b = binary.AppendUvarint(b, uint64(max(0, r.Trial.Remaining)))
	}
	return b
}

// unresponsiveBits returns a bit set of the crashes that are Unresponsive, the lowest bit for
// the first crash.
func (r Report) unresponsiveBits() byte {
	var bits byte
	for i, c := range r.Crashes {
		if c.Unresponsive {
			bits |= 1 << i
		}
	}
	return bits
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// ErrInvalidReports is returned for packed reports that are malformed.
var ErrInvalidReports = errors.New("invalid reports of suspects")

// Unpack decodes packed reports. If any part is malformed, it returns no reports and an error
// that wraps ErrInvalidReports.
func Unpack(text string) (Reports, error) {
	if limit := base64.RawStdEncoding.EncodedLen(maxPackedBytes); len(text) > limit {
		return nil, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrInvalidReports, len(text), limit)
	}
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidReports, err)
	}
	p := parser{b: b}
	var out Reports
	for len(p.b) > 0 {
		out = append(out, p.report())
	}
	if p.err != nil {
		return nil, fmt.Errorf("%w: report %d: %w", ErrInvalidReports, len(out), p.err)
	}
	return out, nil
}

// parser decodes packed reports. After the first error it returns only zero values.
type parser struct {
	b   []byte
	err error
}

var (
	errTruncated   = errors.New("truncated")
	errBadFlags    = errors.New("too many crashes or unknown flags")
	errTimeRange   = errors.New("time out of range")
	errNoSuchCrash = errors.New("unresponsive bits do not match the crashes")
	errZeroID      = errors.New("ID is zero")
)

func (p *parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
	p.b = nil
}

func (p *parser) bytes(n int) []byte {
	if len(p.b) < n {
		p.fail(errTruncated)
		return make([]byte, n)
	}
	out := p.b[:n]
	p.b = p.b[n:]
	return out
}

func (p *parser) uint32() uint32 { return binary.BigEndian.Uint32(p.bytes(4)) }

// id reads an ID, which must not be zero.
func (p *parser) id() uint32 {
	n := p.uint32()
	if n == 0 {
		p.fail(errZeroID)
	}
	return n
}

// millis reads a time from 0 to limit.
func (p *parser) millis(limit clock.Millis) clock.Millis {
	v, n := binary.Uvarint(p.b)
	switch {
	case p.err != nil:
		return 0
	case n <= 0:
		p.fail(errTruncated)
		return 0
	case v > uint64(limit):
		p.fail(errTimeRange)
		return 0
	}
	p.b = p.b[n:]
	return clock.Millis(v)
}

func (p *parser) report() Report {
	r := Report{Digest: Digest(p.bytes(len(Digest{}))), Fingerprint: p.uint32()}
	flags := p.bytes(1)[0]
	crashes := int(flags & crashCountMask)
	if crashes > maxCrashes || flags&^(flagSuccess|flagTrial|flagUnresponsive|flagPart|crashCountMask) != 0 {
		p.fail(errBadFlags)
		return r
	}
	r.Part = flags&flagPart != 0
	for range crashes {
		c := ReportedCrash{ID: p.id(), Incarnation: p.uint32()}
		age := p.millis(4 * Retention)
		c.Age, c.Trial = age>>1, age&1 == 1
		r.Crashes = append(r.Crashes, c)
	}
	if flags&flagUnresponsive != 0 {
		unresponsive := p.bytes(1)[0]
		if unresponsive == 0 || int(unresponsive)>>crashes != 0 {
			p.fail(errNoSuchCrash)
		}
		for i := range r.Crashes {
			r.Crashes[i].Unresponsive = unresponsive&(1<<i) != 0
		}
	}
	if flags&flagSuccess != 0 {
		r.Success = &ReportedSuccess{ID: p.id(), Age: p.millis(2 * Retention)}
	}
	if flags&flagTrial != 0 {
		r.Trial = &ReportedTrial{ID: p.id(), Incarnation: p.uint32(), Remaining: p.millis(TrialTimeout)}
	}
	return r
}

// report returns the report on a record.
func (r *record) report(now clock.Millis) Report {
	out := Report{Digest: r.digest, Fingerprint: r.fingerprint, Part: r.part}
	for _, c := range r.crashes {
		out.Crashes = append(out.Crashes, ReportedCrash{ID: c.id, Incarnation: c.incarnation, Age: now - c.at, Trial: c.trial, Unresponsive: c.unresponsive})
	}
	if r.success.id != 0 {
		out.Success = &ReportedSuccess{ID: r.success.id, Age: now - r.success.at}
	}
	if r.trial.id != 0 && now-r.trial.deadline < TrialTimeout {
		out.Trial = &ReportedTrial{ID: r.trial.id, Incarnation: r.trial.incarnation, Remaining: max(0, r.trial.deadline-now)}
	}
	return out
}

// Merge adds a peer's report that was received now, and reports whether it contained anything
// new. New information is queued for other peers. isLost reports whether this entry itself
// found that an engine incarnation is gone.
func (l *List) Merge(in Report, isLost func(incarnation uint32) bool, now clock.Millis) bool {
	r := l.get(in.Digest)
	known := r != nil
	if !known {
		r = &record{digest: in.Digest, fingerprint: in.Fingerprint, part: in.Part, usedAt: now}
	}
	changed := false
	if in.Success != nil {
		changed = r.addSuccess(success{id: in.Success.ID, at: now - in.Success.Age})
		r.suspected = r.suspected && !changed
	}
	stale := false
	for _, c := range in.Crashes {
		at := now - c.Age
		if r.success.id != 0 && at <= r.success.at {
			stale = true
			continue
		}
		at = l.noteCrash(c.Incarnation, at, true)
		received := crash{id: c.ID, loss: l.lossOf(c.Incarnation, at), incarnation: c.Incarnation, at: at, trial: c.Trial, unresponsive: c.Unresponsive, confirmed: !c.Unresponsive && isLost(c.Incarnation)}
		received.maybeLost = received.loss == 0 && l.maybeLost(at)
		if c.Unresponsive || !l.isExplained(r, received, now) {
			changed = r.addCrash(received) || changed
		}
	}
	if in.Trial != nil {
		if r.mergeTrial(trial{id: in.Trial.ID, incarnation: in.Trial.Incarnation, deadline: now + in.Trial.Remaining}, now) {
			l.setTrial(r, r.trial)
			changed = true
		}
	}
	if !known && r.strikes() == 0 {
		return false
	}
	if changed {
		l.touch(r, now)
	}
	l.put(r)
	if changed {
		l.clearExplained(r, now)
	}
	if stale = stale && now-r.correctedAt > correctionInterval; stale {
		r.correctedAt = now
	}
	if changed || stale {
		// A peer that reports crashes from before a success has not received the success yet.
		l.queue(r, l.isSuspect(r, now) || r.success.id != 0)
	}
	return changed
}

// queue adds a report on a record to those for peers.
func (l *List) queue(r *record, urgent bool) {
	if r.part {
		l.partOutbox.add(r.digest, urgent)
		return
	}
	l.outbox.add(r.digest, urgent)
}

// TakePending removes and returns at most n pending reports, either all on whole requests or
// all on parts, the urgent ones first.
func (l *List) TakePending(n int, now clock.Millis) Reports {
	from := &l.outbox
	if from.len() == 0 || len(from.urgent) == 0 && len(l.partOutbox.urgent) > 0 {
		from = &l.partOutbox
	}
	var out Reports
	for _, d := range from.take(n) {
		if r := l.get(d); r != nil && !r.onlyLost() {
			out = append(out, r.report(now))
		}
	}
	return out
}

// BroadcastSuspects queues reports of all suspects.
func (l *List) BroadcastSuspects() {
	for _, r := range l.suspects() {
		l.queue(r, true)
	}
}

// HasPending reports whether there are reports to send.
func (l *List) HasPending() bool { return l.outbox.len()+l.partOutbox.len() > 0 }

// Checksum returns a checksum of all suspects and their trials, zero if there are none.
// Entries with the same information have the same checksum.
func (l *List) Checksum(now clock.Millis) uint64 {
	var sum uint64
	for _, r := range l.suspects() {
		var b []byte
		b = append(b, r.digest[:]...)
		b = append(b, byte(min(r.strikes(), SuspectStrikes+minFailures)))
		if r.trial.incarnation != 0 && r.trial.isRunning(now) {
			b = binary.BigEndian.AppendUint32(b, r.trial.id)
		}
		sum ^= xxh3.Hash(b)
	}
	return sum
}

// suspects returns the records with at least SuspectStrikes strikes, which all entries should
// know, those of whole requests first.
func (l *List) suspects() []*record {
	out := append(l.confirmed.Values(), l.unconfirmed.Values()...)
	slices.SortStableFunc(out, func(a, b *record) int { return cmp.Compare(bit(a.part), bit(b.part)) })
	return out
}

// Sample returns reports of at most n suspects, either all on whole requests or all on parts.
// Successive calls cycle through all of them.
func (l *List) Sample(n int, now clock.Millis) Reports {
	suspects := l.suspects()
	var out Reports
	for range min(n, len(suspects)) {
		next := (l.nextSample + 1) % len(suspects)
		if len(out) > 0 && suspects[next].part != out[0].Part {
			break
		}
		l.nextSample = next
		out = append(out, suspects[next].report(now))
	}
	return out
}

// outbox holds the requests to report to peers.
type outbox struct{ urgent, normal []Digest }

func (o *outbox) len() int { return len(o.urgent) + len(o.normal) }

// add queues a request, or makes it urgent if it is queued already. A full outbox drops the
// oldest normal request, or the oldest urgent one if there is no normal one.
func (o *outbox) add(d Digest, urgent bool) {
	if slices.Contains(o.urgent, d) {
		return
	}
	i := slices.Index(o.normal, d)
	switch {
	case i >= 0 && !urgent:
		return
	case i >= 0:
		o.normal = slices.Delete(o.normal, i, i+1)
	}
	if urgent {
		o.urgent = append(o.urgent, d)
	} else {
		o.normal = append(o.normal, d)
	}
	switch {
	case o.len() <= maxOutbox:
	case len(o.normal) > 0:
		o.normal = o.normal[1:]
	default:
		o.urgent = o.urgent[1:]
	}
}

// take removes and returns at most n requests, the urgent ones first.
func (o *outbox) take(n int) []Digest {
	var out []Digest
	for _, queue := range []*[]Digest{&o.urgent, &o.normal} {
		k := min(n-len(out), len(*queue))
		out = append(out, (*queue)[:k]...)
		*queue = (*queue)[k:]
	}
	return out
}
