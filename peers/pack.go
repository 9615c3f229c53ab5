package peers

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// packMost bounds the packed members in one message, and what is taken of one:
	// 172 bytes, as many as three members in full have.
	packMost = 16
	// packSize is the size of one in bytes: an IPv4 address, a port, an age.
	packSize = 4 + 2 + 2
	// packAge is the unit in which ages are packed: 16 bits hold eleven minutes.
	packAge clock.Millis = 10
)

// packable returns an address that can be packed, else the zero value.
func packable(addr string) netip.AddrPort {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().Is4() || a.String() != addr {
		return netip.AddrPort{}
	}
	return a
}

// Pack returns some of the members that serve, for a message, the first of all among
// them.
func (m *Members) Pack(now clock.Millis) string {
	b := make([]byte, 0, packMost*packSize)
	first, ok := m.earliest()
	if ok {
		b = first.pack(b, now)
	}
	for _, k := range m.seen {
		if len(b) >= packMost*packSize {
			break
		}
		if k.addr != first.addr {
			b = k.pack(b, now)
		}
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// earliest returns the member that comes first in the common order.
func (m *Members) earliest() (first known, ok bool) {
	for _, k := range m.seen {
		if !ok || k.rank < first.rank {
			first, ok = k, true
		}
	}
	return first, ok
}

// pack appends a member that serves. Ages are rounded up, so that it is never told to
// be fresher than it is.
func (k known) pack(b []byte, now clock.Millis) []byte {
	age := (now - k.at + packAge - 1) / packAge
	if k.stop.begun() || !k.addr.IsValid() || age < 0 || age > math.MaxUint16 {
		return b
	}
	ip := k.addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, k.addr.Port())
	return binary.BigEndian.AppendUint16(b, uint16(age))
}

// Unpack takes packed members from a message. What is no such text tells of none.
func (m *Members) Unpack(text string, now clock.Millis) {
	if len(text) > base64.RawStdEncoding.EncodedLen(packMost*packSize) {
		return
	}
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for ; len(b) >= packSize; b = b[packSize:] {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
		m.Update(Member{Addr: addr.String(), Age: clock.Millis(binary.BigEndian.Uint16(b[6:])) * packAge}, now)
	}
}
