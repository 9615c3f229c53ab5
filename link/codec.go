package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessage bounds one message in bytes: a configuration value of a megabyte
// or a request body, base64-encoded, with its envelope.
const MaxMessage = 12 << 20

// codec frames JSON objects with a varint length, refuses oversize ones and
// counts the bytes of each kind in both directions.
type codec struct {
	class Class
}

var _ jsonrpc2.ObjectCodec = codec{}

var methodMark = []byte(`"method":"`)

// kindOf finds the method of an encoded message; answers have none.
func kindOf(data []byte) string {
	head := data[:min(len(data), 160)]
	i := bytes.Index(head, methodMark)
	if i < 0 {
		return "reply"
	}
	rest := head[i+len(methodMark):]
	j := bytes.IndexByte(rest, '"')
	if j < 0 {
		return "unknown"
	}
	return string(rest[:j])
}

func (c codec) count(direction string, data []byte) {
	if c.class == Data {
		return
	}
	name := fmt.Sprintf(`weldfall_control_bytes_total{direction=%q,kind=%q}`, direction, kindOf(data))
	metrics.GetOrCreateCounter(name).Add(len(data))
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > MaxMessage {
		return fmt.Errorf("encode message: %d bytes exceed the limit of %d", len(data), MaxMessage)
	}
	var head [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(head[:], uint64(len(data)))
	if _, err := w.Write(head[:n]); err != nil {
		return err
	}
	c.count("out", data)
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > MaxMessage {
		return fmt.Errorf("decode message: %d bytes exceed the limit of %d", n, MaxMessage)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	c.count("in", data)
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
