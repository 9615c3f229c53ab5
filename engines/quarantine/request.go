package quarantine

import (
	"math/rand/v2"
	"strings"
)

// Request is one submission of a request by a client, who may submit the same request again.
// It spans all attempts that the entry makes for it.
type Request struct {
	id   string
	key  RequestKey
	body []byte
	// listParts returns the parts of the prompt that other requests may share. It is nil once
	// parts holds them, since few requests need them.
	listParts func() []PromptPart
	parts     []PromptPart
	// digest is computed on first use, since few requests need it.
	digest *Digest
	// crashes counts the engines that crashed while they ran this submission. strikes is the
	// last known count of the strikes that all entries recorded.
	crashes, strikes int
	// tried holds the suspects of which the current attempt is the trial.
	tried []Digest
}

// NewRequest returns a request with the given ID, which is used in logs. listParts returns the
// parts of its prompt that other requests may share; nil means that it has none.
func NewRequest(id string, key RequestKey, body []byte, listParts func() []PromptPart) *Request {
	return &Request{id: id, key: key, body: body, listParts: listParts}
}

// Digest returns the digest of the request.
func (r *Request) Digest() Digest {
	if r.digest == nil {
		d := DigestOf(r.key, r.body)
		r.digest = &d
	}
	return *r.digest
}

func (r *Request) fingerprint() uint32 { return Fingerprint(r.key, len(r.body)) }

// Crashes returns how many engines crashed while they ran this submission.
func (r *Request) Crashes() int { return r.crashes }

func (r *Request) promptParts() []PromptPart {
	if r.listParts != nil {
		r.parts, r.listParts = r.listParts(), nil
	}
	return r.parts
}

// partID returns the ID of the part with a digest, "" if the request has no such part.
func (r *Request) partID(d Digest) string {
	for _, p := range r.promptParts() {
		if p.Digest() == d {
			return p.ID
		}
	}
	return ""
}

// subjects returns what can be blamed in the request and may be on the list.
func (r *Request) subjects(l *List) Subjects {
	var out Subjects
	if l.MayContain(r.fingerprint()) {
		out = append(out, r.Digest())
	}
	for _, p := range r.promptParts() {
		if l.MayContain(p.Fingerprint()) {
			out = append(out, p.Digest())
		}
	}
	return out
}

// maxBlamedParts limits the parts of a prompt that are blamed for one crash.
const maxBlamedParts = 64

// attempt returns an attempt to run the request at an engine incarnation. It ends the trial of
// the request, if there is one.
func (r *Request) attempt(incarnation uint32) Attempt {
	a := Attempt{ID: r.id, Digest: r.Digest(), Fingerprint: r.fingerprint(), Incarnation: incarnation}
	tried := map[Digest]bool{}
	for _, d := range r.tried {
		tried[d] = true
	}
	a.Trial = tried[a.Digest]
	r.tried = nil
	parts := r.promptParts()
	first := 0
	if len(parts) > maxBlamedParts {
		// The parts differ between crashes, so that each of them is blamed at some.
		first = rand.IntN(len(parts))
	}
	for i := range min(len(parts), maxBlamedParts) {
		p := parts[(first+i)%len(parts)]
		d := p.Digest()
		a.Parts = append(a.Parts, AttemptPart{Digest: d, Fingerprint: p.Fingerprint(), Trial: tried[d]})
	}
	return a
}

// Limits on the parts of a prompt in a log line, in parts and in bytes of each ID.
const (
	maxLoggedParts  = 8
	maxLoggedPartID = 16
)

// LoggedParts returns the first parts of the prompt for logs, separated by commas.
func (r *Request) LoggedParts() string {
	var b strings.Builder
	parts := r.promptParts()
	for i, p := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(loggedPartID(p.ID))
	}
	return b.String()
}

func loggedPartID(id string) string { return id[:min(len(id), maxLoggedPartID)] }
