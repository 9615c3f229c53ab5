// Package origin records at which software version streams began. Engines of several
// versions may serve side by side, and their events do not fit together, so a stream
// continues only at the version that began it. Entries exchange records, because callers
// resume streams at any entry, also after the one that began a stream has ended.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"

	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
)

// Key identifies a stream by its workspace and the ID of the caller's attempt that received its
// first event. Callers choose the IDs, so the key is a truncated cryptographic hash: no caller
// can craft an ID with the key of another workspace's stream. The service is no part of it:
// entries with different versions of the routes must find the same record.
type Key [16]byte

// String returns the key in hexadecimal, for logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Hash returns a hash of the key that orders the entries that hold its record.
func (k Key) Hash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// NewKey returns the key of a stream.
func NewKey(workspace, request string) Key {
	h := sha256.New()
	for _, part := range []string{workspace, request} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(n[:])
		_, _ = io.WriteString(h, part)
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// Record is what an entry knows of the origin of a stream.
type Record struct {
	Key Key
	// Workspace is a hash of the workspace, by which the number of records is limited.
	Workspace uint32
	// Call is a random number that tells the calls of entries apart, and Attempt orders
	// the records of a call: until the first event is passed on, the call may go to an
	// engine of another version.
	Call    uint32
	Attempt uint8
	// Service is the hash of the name of the service.
	Service uint32
	// Version is the software version of the engine, at most MaxVersion bytes.
	Version string
	// TTL is how much longer the stream may be resumed.
	TTL clock.Millis
}

// ServiceHash returns the hash of a service's name in a Record.
func ServiceHash(service string) uint32 { return uint32(xxh3.HashString(service)) }

// SameOrigin reports whether two records name the same service and version.
func (r Record) SameOrigin(o Record) bool { return r.Service == o.Service && r.Version == o.Version }

// MaxVersion is the maximum length of a version in bytes.
const MaxVersion = 40

// MaxPacked is the maximum number of records in one message.
const MaxPacked = 128

// Sizes and units of packed records.
const (
	// fixedSize is the size of a packed record without its version, in bytes.
	fixedSize = len(Key{}) + 4 + 4 + 4 + 1 + 2 + 1
	// ttlUnit is the unit of packed times; 16 bits hold eleven minutes.
	ttlUnit clock.Millis = 10
)

// Pack encodes records for a message.
func Pack(records []Record) string {
	b := make([]byte, 0, len(records)*(fixedSize+MaxVersion/4))
	for _, r := range records {
		ttl := min((r.TTL+ttlUnit-1)/ttlUnit, math.MaxUint16)
		if ttl <= 0 || len(r.Version) > MaxVersion {
			continue
		}
		b = append(b, r.Key[:]...)
		b = binary.BigEndian.AppendUint32(b, r.Workspace)
		b = binary.BigEndian.AppendUint32(b, r.Service)
		b = binary.BigEndian.AppendUint32(b, r.Call)
		b = append(b, r.Attempt)
		b = binary.BigEndian.AppendUint16(b, uint16(ttl))
		b = append(b, uint8(len(r.Version)))
		b = append(b, r.Version...)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// errPacked is returned for text that Pack did not write.
var errPacked = errors.New("records are truncated, too many or without a version")

// Unpack decodes the records of a message.
func Unpack(text string) ([]Record, error) {
	if len(text) > base64.RawStdEncoding.EncodedLen(MaxPacked*(fixedSize+MaxVersion)) {
		return nil, errPacked
	}
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	var records []Record
	for len(b) > 0 {
		if len(b) < fixedSize || len(records) == MaxPacked {
			return nil, errPacked
		}
		r := Record{Key: Key(b[:len(Key{})])}
		b = b[len(Key{}):]
		r.Workspace, r.Service, r.Call, r.Attempt = binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:]), b[12]
		r.TTL = clock.Millis(binary.BigEndian.Uint16(b[13:])) * ttlUnit
		n := int(b[15])
		b = b[16:]
		if n == 0 || n > MaxVersion || n > len(b) {
			return nil, errPacked
		}
		r.Version, b = string(b[:n]), b[n:]
		records = append(records, r)
	}
	return records, nil
}

// Query asks for the origin of a stream.
type Query struct {
	Key Key
	// Workspace is the hash of the workspace, as in a Record.
	Workspace uint32
	Service   string
}

// Finding is what one entry knows of the origin of a stream.
type Finding struct {
	// From is the address of the entry, for logs.
	From string
	// Record is what it knows of the stream, nil if nothing.
	Record *Record
	// Ambiguous is true if its records of the stream contradict each other.
	Ambiguous bool
	// Others is the number of other entries that it knows, negative if it does not tell.
	Others int
	// Knowledge is what it knows of the versions of the service.
	Knowledge Knowledge
}

// Search is the result of a search for the origin of a stream.
type Search struct {
	// Findings are those of the entries that responded.
	Findings []Finding
	// Others is the number of other entries that are known, whether they were asked or not.
	Others int
}

// Responders returns the addresses of the entries that responded.
func (s Search) Responders() []string {
	addrs := make([]string, 0, len(s.Findings))
	for _, f := range s.Findings {
		addrs = append(addrs, f.From)
	}
	return addrs
}

// Peers are the other entries.
type Peers interface {
	// Store sends a record to other entries. The channel receives true once one of them has
	// it, or false once none can, and is closed.
	Store(r Record) <-chan bool
	// Find asks other entries.
	Find(ctx context.Context, q Query) Search
}

// Host is an entry that holds records for others.
type Host interface {
	// SetOriginPeers receives the other entries.
	SetOriginPeers(p Peers)
	// HoldOrigins holds records that another entry sent.
	HoldOrigins(records []Record)
	// FindOrigin returns what the entry knows of the origin of a stream.
	FindOrigin(q Query) Finding
}
