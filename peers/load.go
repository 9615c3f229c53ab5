package peers

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// Load is the load that an engine reported.
type Load struct {
	// Incarnation is the hash of the engine's incarnation.
	Incarnation uint32
	Requests    int
	// Age is the time since the engine reported it.
	Age clock.Millis
}

// Loads are the loads in one message. Packed, ten take 94 bytes; with the names of the
// engines they took 430. Loads older than 2.5 s are left out.
type Loads []Load

// packedLoadSize is the size of a packed load in bytes: the incarnation, the requests and
// the age.
const packedLoadSize = 4 + 2 + 1

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, len(l)*packedLoadSize)
	for _, one := range l {
		age := (one.Age + packedAgeUnit - 1) / packedAgeUnit
		if one.Requests < 0 || one.Requests > math.MaxUint16 || age < 0 || age > math.MaxUint8 {
			continue
		}
		b = binary.BigEndian.AppendUint32(b, one.Incarnation)
		b = binary.BigEndian.AppendUint16(b, uint16(one.Requests))
		b = append(b, uint8(age))
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(b))
}

// UnmarshalJSON implements json.Unmarshaler. It decodes malformed text as no loads.
func (l *Loads) UnmarshalJSON(text []byte) error {
	*l = nil
	var packed string
	if json.Unmarshal(text, &packed) != nil || len(packed) > base64.RawStdEncoding.EncodedLen(responseLoads*packedLoadSize) {
		return nil
	}
	b, err := base64.RawStdEncoding.DecodeString(packed)
	if err != nil {
		return nil
	}
	for ; len(b) >= packedLoadSize; b = b[packedLoadSize:] {
		*l = append(*l, Load{
			Incarnation: binary.BigEndian.Uint32(b), Requests: int(binary.BigEndian.Uint16(b[4:])),
			Age: clock.Millis(b[6]) * packedAgeUnit,
		})
	}
	return nil
}
