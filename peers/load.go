package peers

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// Load is the load of an engine, as the engine told it.
type Load struct {
	// Incarnation is the mark of a life of an engine.
	Incarnation uint32
	Requests    int
	// Age is how old the figure is, in milliseconds.
	Age clock.Millis
}

// Loads are those in one message. Packed, ten take 94 bytes where they took 430 by
// the names of the engines. Those that are older than 2.5 s are left out.
type Loads []Load

// loadSize is the size of a packed load in bytes: the mark, the requests, the age.
const loadSize = 4 + 2 + 1

// MarshalJSON implements json.Marshaler.
func (l Loads) MarshalJSON() ([]byte, error) {
	b := make([]byte, 0, len(l)*loadSize)
	for _, one := range l {
		age := (one.Age + packAge - 1) / packAge
		if one.Requests < 0 || one.Requests > math.MaxUint16 || age < 0 || age > math.MaxUint8 {
			continue
		}
		b = binary.BigEndian.AppendUint32(b, one.Incarnation)
		b = binary.BigEndian.AppendUint16(b, uint16(one.Requests))
		b = append(b, uint8(age))
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(b))
}

// UnmarshalJSON implements json.Unmarshaler. What is no such text has no loads.
func (l *Loads) UnmarshalJSON(text []byte) error {
	*l = nil
	var packed string
	if json.Unmarshal(text, &packed) != nil || len(packed) > base64.RawStdEncoding.EncodedLen(loadsTold*loadSize) {
		return nil
	}
	b, err := base64.RawStdEncoding.DecodeString(packed)
	if err != nil {
		return nil
	}
	for ; len(b) >= loadSize; b = b[loadSize:] {
		*l = append(*l, Load{
			Incarnation: binary.BigEndian.Uint32(b), Requests: int(binary.BigEndian.Uint16(b[4:])),
			Age: clock.Millis(b[6]) * packAge,
		})
	}
	return nil
}
