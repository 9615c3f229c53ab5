package peers

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// maxPacked limits the packed members in one message, sent or received: 172 bytes, as
	// much as three unpacked members take.
	maxPacked = 16
	// packedSize is the size of a packed member in bytes: an IPv4 address, a port and an
	// age.
	packedSize = 4 + 2 + 2
	// packedAgeUnit is the unit of packed ages; 16 bits hold eleven minutes.
	packedAgeUnit clock.Millis = 10
)

// ipv4Addr parses an address that can be packed, and returns the zero value for others.
func ipv4Addr(addr string) netip.AddrPort {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().Is4() || a.String() != addr {
		return netip.AddrPort{}
	}
	return a
}

// Pack returns some of the members that are not stopping, encoded for a message. The
// member that ranks first is always among them, unless it is stopping or cannot be
// packed.
func (m *Members) Pack(now clock.Millis) string {
	b := make([]byte, 0, maxPacked*packedSize)
	first, ok := m.lowestRanked()
	if ok {
		b = first.appendPacked(b, now)
	}
	for _, k := range m.byAddr {
		if len(b) >= maxPacked*packedSize {
			break
		}
		if k.addr != first.addr {
			b = k.appendPacked(b, now)
		}
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// lowestRanked returns the member that ranks first, or false if none is known.
func (m *Members) lowestRanked() (first memberState, ok bool) {
	for _, k := range m.byAddr {
		if !ok || k.rank < first.rank {
			first, ok = k, true
		}
	}
	return first, ok
}

// appendPacked appends the member to b if it is not stopping and fits. Ages are rounded
// up, so that a member never appears fresher than it is.
func (k memberState) appendPacked(b []byte, now clock.Millis) []byte {
	age := (now - k.seenAt + packedAgeUnit - 1) / packedAgeUnit
	if k.stop.begun() || !k.addr.IsValid() || age < 0 || age > math.MaxUint16 {
		return b
	}
	ip := k.addr.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, k.addr.Port())
	return binary.BigEndian.AppendUint16(b, uint16(age))
}

// Unpack updates the list with the packed members of a message received at now. It
// ignores text that is malformed or too long.
func (m *Members) Unpack(text string, now clock.Millis) {
	if len(text) > base64.RawStdEncoding.EncodedLen(maxPacked*packedSize) {
		return
	}
	b, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for ; len(b) >= packedSize; b = b[packedSize:] {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
		m.Update(Member{Addr: addr.String(), Age: clock.Millis(binary.BigEndian.Uint16(b[6:])) * packedAgeUnit}, now)
	}
}
