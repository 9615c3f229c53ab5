package quarantine

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// MaxReports bounds the requests in one message.
	MaxReports = 32
	// newsBytes bounds what is taken of one, in bytes before it is encoded as text:
	// NewsMost requests with all that is told of them.
	newsBytes = 4096
	// correctEvery is how often others are told again of a run that they seem not to
	// know: some rounds of questions.
	correctEvery clock.Millis = 1000
	// outboxMost bounds the requests that wait to be told of.
	outboxMost = 256
)

// Report is what entries tell each other of one request. All times are ages.
type Report struct {
	Digest      Digest
	Fingerprint uint32
	Crashes     []ReportedCrash
	// Success is the latest run that ended well, nil if none is known.
	Success *ReportedSuccess
	// Trial is the latest trial, nil if none is under way or lately was.
	Trial *ReportedTrial
}

// ReportedCrash is an engine that ended while it had the request.
type ReportedCrash struct {
	ID uint32
	// Incarnation is the mark of the life of the engine.
	Incarnation uint32
	// Age is how long ago it ended.
	Age clock.Millis
	// Trial is true if it ran the request alone, to find out.
	Trial bool
	// Unresponsive is true if all that shows it is that the engine went dark.
	Unresponsive bool
}

// ReportedSuccess is a run that ended well.
type ReportedSuccess struct {
	ID  uint32
	Age clock.Millis
}

// ReportedTrial is a trial.
type ReportedTrial struct {
	ID, Incarnation uint32
	// Remaining is how much longer it may take; zero or less if it is over.
	Remaining clock.Millis
}

// Reports are items of one message.
type Reports []Report

// flags of a packed item.
const (
	hasWell  = 0x40
	hasTrial = 0x80
	hasDark  = 0x10
	endsMask = 0x0f
)

// Pack returns news as text, "" if there are none. A request with one strike has 28
// bytes before that.
func (n Reports) Pack() string {
	var b []byte
	for _, it := range n {
		b = it.pack(b)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

func (it Report) pack(b []byte) []byte {
	b = append(b, it.Digest[:]...)
	b = binary.BigEndian.AppendUint32(b, it.Fingerprint)
	flags := byte(len(it.Crashes))
	if it.Success != nil {
		flags |= hasWell
	}
	if it.Trial != nil {
		flags |= hasTrial
	}
	dark := it.darkBits()
	if dark != 0 {
		flags |= hasDark
	}
	b = append(b, flags)
	for _, e := range it.Crashes {
		b = binary.BigEndian.AppendUint32(b, e.ID)
		b = binary.BigEndian.AppendUint32(b, e.Incarnation)
		b = binary.AppendUvarint(b, uint64(max(0, e.Age))<<1|uint64(trialBit(e.Trial)))
	}
	if dark != 0 {
		b = append(b, dark)
	}
	if it.Success != nil {
		b = binary.BigEndian.AppendUint32(b, it.Success.ID)
		b = binary.AppendUvarint(b, uint64(max(0, it.Success.Age)))
	}
	if it.Trial != nil {
		b = binary.BigEndian.AppendUint32(b, it.Trial.ID)
		b = binary.BigEndian.AppendUint32(b, it.Trial.Incarnation)
		b = binary.AppendUvarint(b, uint64(max(0, it.Trial.Remaining)))
	}
	return b
}

// darkBits has a bit for each end that is known by a dark engine alone, the lowest for the
// first.
func (it Report) darkBits() byte {
	var bits byte
	for i, e := range it.Crashes {
		if e.Unresponsive {
			bits |= 1 << i
		}
	}
	return bits
}

func trialBit(trial bool) byte {
	if trial {
		return 1
	}
	return 0
}

// ErrInvalidReports is news that make no sense.
var ErrInvalidReports = errors.New("word of requests that makes no sense")

// Unpack reads what Pack wrote. All of a text that makes no sense is dropped, with an
// error that wraps ErrBadNews.
func Unpack(text string) (Reports, error) {
	if most := base64.RawStdEncoding.EncodedLen(newsBytes); len(text) > most {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are taken", ErrInvalidReports, len(text), most)
	}
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidReports, err)
	}
	p := parser{b: b}
	var out Reports
	for len(p.b) > 0 {
		out = append(out, p.item())
	}
	if p.err != nil {
		return nil, fmt.Errorf("%w: item %d: %w", ErrInvalidReports, len(out), p.err)
	}
	return out, nil
}

// parser reads packed items; after the first error it reads nothing more.
type parser struct {
	b   []byte
	err error
}

var (
	errShort    = errors.New("it breaks off")
	errTooMany  = errors.New("it has more ends than are told, or what is not known here")
	errTooOld   = errors.New("a time is out of its bounds")
	errNoEnd    = errors.New("an engine is dark of which no end is told")
	errNoNumber = errors.New("a number is zero that never is")
)

func (p *parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
	p.b = nil
}

func (p *parser) bytes(n int) []byte {
	if len(p.b) < n {
		p.fail(errShort)
		return make([]byte, n)
	}
	out := p.b[:n]
	p.b = p.b[n:]
	return out
}

func (p *parser) uint32() uint32 { return binary.BigEndian.Uint32(p.bytes(4)) }

// id reads a number that is never zero.
func (p *parser) id() uint32 {
	n := p.uint32()
	if n == 0 {
		p.fail(errNoNumber)
	}
	return n
}

// millis reads a time from 0 to most.
func (p *parser) millis(most clock.Millis) clock.Millis {
	v, n := binary.Uvarint(p.b)
	switch {
	case p.err != nil:
		return 0
	case n <= 0:
		p.fail(errShort)
		return 0
	case v > uint64(most):
		p.fail(errTooOld)
		return 0
	}
	p.b = p.b[n:]
	return clock.Millis(v)
}

func (p *parser) item() Report {
	it := Report{Digest: Digest(p.bytes(len(Digest{}))), Fingerprint: p.uint32()}
	flags := p.bytes(1)[0]
	ends := int(flags & endsMask)
	if ends > endsMost || flags&^(hasWell|hasTrial|hasDark|endsMask) != 0 {
		p.fail(errTooMany)
		return it
	}
	for range ends {
		e := ReportedCrash{ID: p.id(), Incarnation: p.uint32()}
		age := p.millis(4 * Retention)
		e.Age, e.Trial = age>>1, age&1 == 1
		it.Crashes = append(it.Crashes, e)
	}
	if flags&hasDark != 0 {
		dark := p.bytes(1)[0]
		if dark == 0 || int(dark)>>ends != 0 {
			p.fail(errNoEnd)
		}
		for i := range it.Crashes {
			it.Crashes[i].Unresponsive = dark&(1<<i) != 0
		}
	}
	if flags&hasWell != 0 {
		it.Success = &ReportedSuccess{ID: p.id(), Age: p.millis(2 * Retention)}
	}
	if flags&hasTrial != 0 {
		it.Trial = &ReportedTrial{ID: p.id(), Incarnation: p.uint32(), Remaining: p.millis(TrialTimeout)}
	}
	return it
}

// itemOf is what is told of a request.
func (r *record) itemOf(now clock.Millis) Report {
	it := Report{Digest: r.digest, Fingerprint: r.shape}
	for _, e := range r.ends {
		it.Crashes = append(it.Crashes, ReportedCrash{ID: e.id, Incarnation: e.life, Age: now - e.at, Trial: e.trial, Unresponsive: e.dark})
	}
	if r.well.id != 0 {
		it.Success = &ReportedSuccess{ID: r.well.id, Age: now - r.well.at}
	}
	if r.trial.id != 0 && now-r.trial.until < TrialTimeout {
		it.Trial = &ReportedTrial{ID: r.trial.id, Incarnation: r.trial.life, Remaining: max(0, r.trial.until-now)}
	}
	return it
}

// Merge takes what another entry tells of a request, at the time at which it came. What
// is new is told on. lost reports whether this entry itself found that a life of an engine
// is over. It reports whether anything was new.
func (l *List) Merge(it Report, lost func(life uint32) bool, now clock.Millis) bool {
	r := l.get(it.Digest)
	known := r != nil
	if !known {
		r = &record{digest: it.Digest, shape: it.Fingerprint, usedAt: now}
	}
	news := false
	if it.Success != nil {
		news = r.ranWell(well{id: it.Success.ID, at: now - it.Success.Age})
	}
	stale := false
	for _, e := range it.Crashes {
		at := now - e.Age
		if r.well.id != 0 && at <= r.well.at {
			stale = true
			continue
		}
		l.noteEnd(e.Incarnation, at)
		news = r.add(end{id: e.ID, life: e.Incarnation, at: at, trial: e.Trial, dark: e.Unresponsive, confirmed: !e.Unresponsive && lost(e.Incarnation)}) || news
	}
	if it.Trial != nil {
		news = r.tried(trial{id: it.Trial.ID, life: it.Trial.Incarnation, until: now + it.Trial.Remaining}, now) || news
	}
	if !known && r.strikes() == 0 {
		return false
	}
	if news {
		l.use(r, now)
	}
	l.put(r)
	if stale = stale && now-r.correctedAt > correctEvery; stale {
		r.correctedAt = now
	}
	if news || stale {
		// Who tells of ends that a later run took back has yet to hear of that run.
		l.news.add(r.digest, l.isSuspect(r, now) || r.well.id != 0)
	}
	return news
}

// TakePending returns news for others, at most n requests, the urgent ones first.
func (l *List) TakePending(n int, now clock.Millis) Reports {
	var out Reports
	for _, d := range l.news.take(n) {
		if r := l.get(d); r != nil {
			out = append(out, r.itemOf(now))
		}
	}
	return out
}

// BroadcastSuspects has others told of all suspects.
func (l *List) BroadcastSuspects() {
	for _, r := range l.suspected() {
		l.news.add(r.digest, true)
	}
}

// HasPending reports whether there are news for others.
func (l *List) HasPending() bool { return l.news.len() > 0 }

// Checksum stands for all suspects and their trials: two entries that know the same have the
// same. It is zero if there are none.
func (l *List) Checksum(now clock.Millis) uint64 {
	var sum uint64
	for _, r := range l.suspected() {
		var b []byte
		b = append(b, r.digest[:]...)
		b = append(b, byte(min(r.strikes(), SuspectStrikes+failedMost)))
		if r.trial.life != 0 && r.trial.underWay(now) {
			b = binary.BigEndian.AppendUint32(b, r.trial.id)
		}
		sum ^= xxh3.Hash(b)
	}
	return sum
}

// suspected are the records with so many strikes that all should know them.
func (l *List) suspected() []*record {
	return append(l.held.Values(), l.told.Values()...)
}

// Sample returns some of the suspects, others each time.
func (l *List) Sample(n int, now clock.Millis) Reports {
	in := l.suspected()
	var out Reports
	for range min(n, len(in)) {
		l.next = (l.next + 1) % len(in)
		out = append(out, in[l.next].itemOf(now))
	}
	return out
}

// outbox are the requests of which others are to be told.
type outbox struct{ urgent, usual []Digest }

func (o *outbox) len() int { return len(o.urgent) + len(o.usual) }

// add enters a request. The oldest usual ones give way to newer ones, and usual ones
// to urgent ones.
func (o *outbox) add(d Digest, urgent bool) {
	if slices.Contains(o.urgent, d) {
		return
	}
	at := slices.Index(o.usual, d)
	switch {
	case at >= 0 && !urgent:
		return
	case at >= 0:
		o.usual = slices.Delete(o.usual, at, at+1)
	}
	if urgent {
		o.urgent = append(o.urgent, d)
	} else {
		o.usual = append(o.usual, d)
	}
	switch {
	case o.len() <= outboxMost:
	case len(o.usual) > 0:
		o.usual = o.usual[1:]
	default:
		o.urgent = o.urgent[1:]
	}
}

func (o *outbox) take(n int) []Digest {
	var out []Digest
	for _, from := range []*[]Digest{&o.urgent, &o.usual} {
		k := min(n-len(out), len(*from))
		out = append(out, (*from)[:k]...)
		*from = (*from)[k:]
	}
	return out
}
