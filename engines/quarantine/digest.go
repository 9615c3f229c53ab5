// Package quarantine finds the requests that crash the engines which run them, as
// opposed to requests that were on a crashing engine by coincidence.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"
)

// Digest identifies a request across repeated submissions, whatever their IDs. Clients choose
// the body, so the digest is a truncated cryptographic hash: at 96 bits it is infeasible to
// craft a request with the digest of another.
type Digest [12]byte

// String returns the digest in hexadecimal, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// joinDigests returns digests separated by commas, for logs.
func joinDigests(ds []Digest) string {
	var b strings.Builder
	for i, d := range ds {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(d.String())
	}
	return b.String()
}

// RequestKey identifies a request, together with its body.
type RequestKey struct {
	// Workspace is the workspace that the request belongs to, "" if no key is needed.
	Workspace string
	Host      string
	Method    string
	// URI is the path with the query.
	URI string
}

// Hasher computes the digest of a request whose body arrives in chunks. It does not
// retain the body.
type Hasher struct{ sum hash.Hash }

var _ io.Writer = (*Hasher)(nil)

// NewHasher returns a Hasher for a request without its body. Each part is hashed with its
// length, so that moving bytes between adjacent parts changes the digest.
func NewHasher(key RequestKey) *Hasher {
	h := &Hasher{sum: sha256.New()}
	for _, part := range []string{key.Workspace, key.Host, key.Method, key.URI} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.sum.Write(n[:])
		_, _ = io.WriteString(h.sum, part)
	}
	return h
}

// Write adds a chunk of the body. It never fails.
func (h *Hasher) Write(p []byte) (int, error) { return h.sum.Write(p) }

// Digest returns the digest of the request with the body written so far. It can be called
// between writes: a body and its prefix have different digests.
func (h *Hasher) Digest() Digest { return Digest(h.sum.Sum(nil)[:len(Digest{})]) }

// DigestOf returns the digest of a request with its complete body.
func DigestOf(key RequestKey, body []byte) Digest {
	h := NewHasher(key)
	_, _ = h.Write(body)
	return h.Digest()
}
