// Package bodies accounts for the memory that the bodies of callers' requests take in a process.
package bodies

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Account counts the bytes of callers' bodies that a process holds. It is safe for concurrent use.
type Account struct {
	held *metrics.Gauge
}

// NewAccount returns the account of a process on a machine with the given memory in bytes, 0 if
// that is unknown.
func NewAccount(memory int64) *Account {
	metrics.GetOrCreateGauge("weldfall_memory_bytes", nil).Set(float64(memory))
	return &Account{held: metrics.GetOrCreateGauge("weldfall_request_bodies_bytes", nil)}
}

// Body is the body of a request. It is not safe for concurrent use.
type Body struct {
	account *Account
	// bytes is how much of the body was read.
	bytes int64
}

// Body returns a body of which nothing was read yet. Release must be called at the end of its
// request.
func (a *Account) Body() *Body { return &Body{account: a} }

// Reader returns a reader that reads the body from r.
func (b *Body) Reader(r io.Reader) io.Reader { return reader{b, r} }

// Release takes the body off the account.
func (b *Body) Release() {
	b.account.held.Add(-float64(b.bytes))
	b.bytes = 0
}

type reader struct {
	body *Body
	r    io.Reader
}

// Read implements io.Reader.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.body.bytes += int64(n)
	r.body.account.held.Add(float64(n))
	return n, err
}
