package peers

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"

	"github.com/weldfall/weldfall/common/clock"
)

// Placement says that an engine was sent a prompt with a beginning.
type Placement struct {
	// Prompt is the hash of the beginning, Engine that of the engine's id.
	Prompt uint64
	Engine uint32
	// Age is how long ago that was.
	Age clock.Millis
}

// Placements are written as one text, since they are most of a message.
type Placements []Placement

// placementSize is the size of a placement in bytes: its prompt, its engine and
// its age, which is at most 65,535 ms.
const placementSize = 8 + 4 + 2

// MarshalText implements encoding.TextMarshaler.
func (p Placements) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(p)*placementSize)
	for _, o := range p {
		raw = binary.BigEndian.AppendUint64(raw, o.Prompt)
		raw = binary.BigEndian.AppendUint32(raw, o.Engine)
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(max(0, o.Age), math.MaxUint16)))
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Placements) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("placements: %w", err)
	}
	if len(raw)%placementSize != 0 {
		return fmt.Errorf("placements: %d bytes are not a multiple of %d", len(raw), placementSize)
	}
	*p = nil
	for ; len(raw) > 0; raw = raw[placementSize:] {
		*p = append(*p, Placement{
			Prompt: binary.BigEndian.Uint64(raw), Engine: binary.BigEndian.Uint32(raw[8:]), Age: clock.Millis(binary.BigEndian.Uint16(raw[12:])),
		})
	}
	return nil
}
