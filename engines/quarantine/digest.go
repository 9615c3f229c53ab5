// Package quarantine tells the requests that end the engines which run them from
// those that were there by chance.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Digest names what a caller asked, whatever id an attempt has. Callers choose
// bodies, so it is cut from a cryptographic sum: with 96 bits nobody finds a request
// that passes for another's.
type Digest [12]byte

// String returns the digest in hex, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// RequestKey is what makes two attempts the same request.
type RequestKey struct {
	// Workspace is on whose behalf the request runs, "" if no key is needed.
	Workspace string
	Host      string
	Method    string
	// URI is the path with the query.
	URI string
}

// Hasher makes the digest of a request whose body comes in pieces. Nothing of the
// body is kept.
type Hasher struct{ sum hash.Hash }

var _ io.Writer = (*Hasher)(nil)

// NewHasher begins the digest of a request. Each part goes in with its length, so that
// none can pass for the beginning or the end of another.
func NewHasher(a RequestKey) *Hasher {
	h := &Hasher{sum: sha256.New()}
	for _, part := range []string{a.Workspace, a.Host, a.Method, a.URI} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.sum.Write(n[:])
		_, _ = io.WriteString(h.sum, part)
	}
	return h
}

// Write takes a piece of the body. It does not fail.
func (h *Hasher) Write(p []byte) (int, error) { return h.sum.Write(p) }

// Digest returns the digest of what was written so far. Of two bodies one of which
// begins with the other both have their own.
func (h *Hasher) Digest() Digest { return Digest(h.sum.Sum(nil)[:len(Digest{})]) }

// DigestOf returns the digest of a request whose body is at hand.
func DigestOf(a RequestKey, body []byte) Digest {
	h := NewHasher(a)
	_, _ = h.Write(body)
	return h.Digest()
}
