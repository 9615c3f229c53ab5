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
	// NewsMost bounds the requests in one message.
	NewsMost = 32
	// newsBytes bounds what is taken of one, in bytes before it is encoded as text:
	// NewsMost requests with all that is told of them.
	newsBytes = 4096
	// correctEvery is how often others are told again of a run that they seem not to
	// know: some rounds of questions.
	correctEvery clock.Millis = 1000
	// outboxMost bounds the requests that wait to be told of.
	outboxMost = 256
)

// Item is what entries tell each other of one request. All times are ages.
type Item struct {
	Digest Digest
	Shape  uint32
	Ends   []EndedUnder
	// Well is the latest run that ended well, nil if none is known.
	Well *RanWell
	// Trial is the latest trial, nil if none is under way or lately was.
	Trial *OnTrial
}

// EndedUnder is an engine that ended while it had the request.
type EndedUnder struct {
	ID uint32
	// Life is the mark of the life of the engine.
	Life uint32
	// Age is how long ago it ended.
	Age clock.Millis
	// Trial is true if it ran the request alone, to find out.
	Trial bool
	// Dark is true if all that shows it is that the engine went dark.
	Dark bool
}

// RanWell is a run that ended well.
type RanWell struct {
	ID  uint32
	Age clock.Millis
}

// OnTrial is a trial.
type OnTrial struct {
	ID, Life uint32
	// Left is how much longer it may take; zero or less if it is over.
	Left clock.Millis
}

// News are items of one message.
type News []Item

// flags of a packed item.
const (
	hasWell  = 0x40
	hasTrial = 0x80
	hasDark  = 0x10
	endsMask = 0x0f
)

// Pack returns news as text, "" if there are none. A request with one strike has 28
// bytes before that.
func (n News) Pack() string {
	var b []byte
	for _, it := range n {
		b = it.pack(b)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

func (it Item) pack(b []byte) []byte {
	b = append(b, it.Digest[:]...)
	b = binary.BigEndian.AppendUint32(b, it.Shape)
	flags := byte(len(it.Ends))
	if it.Well != nil {
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
	for _, e := range it.Ends {
		b = binary.BigEndian.AppendUint32(b, e.ID)
		b = binary.BigEndian.AppendUint32(b, e.Life)
		b = binary.AppendUvarint(b, uint64(max(0, e.Age))<<1|uint64(trialBit(e.Trial)))
	}
	if dark != 0 {
		b = append(b, dark)
	}
	if it.Well != nil {
		b = binary.BigEndian.AppendUint32(b, it.Well.ID)
		b = binary.AppendUvarint(b, uint64(max(0, it.Well.Age)))
	}
	if it.Trial != nil {
		b = binary.BigEndian.AppendUint32(b, it.Trial.ID)
		b = binary.BigEndian.AppendUint32(b, it.Trial.Life)
		b = binary.AppendUvarint(b, uint64(max(0, it.Trial.Left)))
	}
	return b
}

// darkBits has a bit for each end that is known by a dark engine alone, the lowest for the
// first.
func (it Item) darkBits() byte {
	var bits byte
	for i, e := range it.Ends {
		if e.Dark {
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

// ErrBadNews is news that make no sense.
var ErrBadNews = errors.New("word of requests that makes no sense")

// Unpack reads what Pack wrote. All of a text that makes no sense is dropped, with an
// error that wraps ErrBadNews.
func Unpack(text string) (News, error) {
	if most := base64.RawStdEncoding.EncodedLen(newsBytes); len(text) > most {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are taken", ErrBadNews, len(text), most)
	}
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadNews, err)
	}
	p := parser{b: b}
	var out News
	for len(p.b) > 0 {
		out = append(out, p.item())
	}
	if p.err != nil {
		return nil, fmt.Errorf("%w: item %d: %w", ErrBadNews, len(out), p.err)
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

func (p *parser) item() Item {
	it := Item{Digest: Digest(p.bytes(len(Digest{}))), Shape: p.uint32()}
	flags := p.bytes(1)[0]
	ends := int(flags & endsMask)
	if ends > endsMost || flags&^(hasWell|hasTrial|hasDark|endsMask) != 0 {
		p.fail(errTooMany)
		return it
	}
	for range ends {
		e := EndedUnder{ID: p.id(), Life: p.uint32()}
		age := p.millis(4 * KeepFor)
		e.Age, e.Trial = age>>1, age&1 == 1
		it.Ends = append(it.Ends, e)
	}
	if flags&hasDark != 0 {
		dark := p.bytes(1)[0]
		if dark == 0 || int(dark)>>ends != 0 {
			p.fail(errNoEnd)
		}
		for i := range it.Ends {
			it.Ends[i].Dark = dark&(1<<i) != 0
		}
	}
	if flags&hasWell != 0 {
		it.Well = &RanWell{ID: p.id(), Age: p.millis(2 * KeepFor)}
	}
	if flags&hasTrial != 0 {
		it.Trial = &OnTrial{ID: p.id(), Life: p.uint32(), Left: p.millis(TrialLimit)}
	}
	return it
}

// itemOf is what is told of a request.
func (r *record) itemOf(now clock.Millis) Item {
	it := Item{Digest: r.digest, Shape: r.shape}
	for _, e := range r.ends {
		it.Ends = append(it.Ends, EndedUnder{ID: e.id, Life: e.life, Age: now - e.at, Trial: e.trial, Dark: e.dark})
	}
	if r.well.id != 0 {
		it.Well = &RanWell{ID: r.well.id, Age: now - r.well.at}
	}
	if r.trial.id != 0 && now-r.trial.until < TrialLimit {
		it.Trial = &OnTrial{ID: r.trial.id, Life: r.trial.life, Left: max(0, r.trial.until-now)}
	}
	return it
}

// Learn takes what another entry tells of a request, at the time at which it came. What
// is new is told on. lost reports whether this entry itself found that a life of an engine
// is over. It reports whether anything was new.
func (l *List) Learn(it Item, lost func(life uint32) bool, now clock.Millis) bool {
	r := l.get(it.Digest)
	known := r != nil
	if !known {
		r = &record{digest: it.Digest, shape: it.Shape, usedAt: now}
	}
	news := false
	if it.Well != nil {
		news = r.ranWell(well{id: it.Well.ID, at: now - it.Well.Age})
	}
	stale := false
	for _, e := range it.Ends {
		at := now - e.Age
		if r.well.id != 0 && at <= r.well.at {
			stale = true
			continue
		}
		l.noteEnd(e.Life, at)
		news = r.add(end{id: e.ID, life: e.Life, at: at, trial: e.Trial, dark: e.Dark, confirmed: !e.Dark && lost(e.Life)}) || news
	}
	if it.Trial != nil {
		news = r.tried(trial{id: it.Trial.ID, life: it.Trial.Life, until: now + it.Trial.Left}, now) || news
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

// Take returns news for others, at most n requests, the urgent ones first.
func (l *List) Take(n int, now clock.Millis) News {
	var out News
	for _, d := range l.news.take(n) {
		if r := l.get(d); r != nil {
			out = append(out, r.itemOf(now))
		}
	}
	return out
}

// Spread has others told of all suspects.
func (l *List) Spread() {
	for _, r := range l.suspected() {
		l.news.add(r.digest, true)
	}
}

// Waiting reports whether there are news for others.
func (l *List) Waiting() bool { return l.news.len() > 0 }

// Sum stands for all suspects and their trials: two entries that know the same have the
// same. It is zero if there are none.
func (l *List) Sum(now clock.Millis) uint64 {
	var sum uint64
	for _, r := range l.suspected() {
		var b []byte
		b = append(b, r.digest[:]...)
		b = append(b, byte(min(r.strikes(), SuspectFrom+failedMost)))
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
func (l *List) Sample(n int, now clock.Millis) News {
	in := l.suspected()
	var out News
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
