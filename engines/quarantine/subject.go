package quarantine

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// PromptPart is a part of the prompts of requests for a service. The requests of all
// workspaces and routes share it, and so do all software versions of the engines.
type PromptPart struct{ Service, ID string }

// Digest identifies the part. It differs from the digests of all whole requests, which begin
// with the length of a workspace's name.
func (p PromptPart) Digest() Digest {
	b := binary.BigEndian.AppendUint64(nil, ^uint64(0))
	b = binary.BigEndian.AppendUint64(b, uint64(len(p.Service)))
	b = append(b, p.Service...)
	b = append(b, p.ID...)
	sum := sha256.Sum256(b)
	return Digest(sum[:len(Digest{})])
}

// Fingerprint returns a cheap hash that differs for most parts.
func (p PromptPart) Fingerprint() uint32 {
	return uint32(xxh3.HashStringSeed(p.ID, xxh3.HashString(p.Service)))
}
