package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/weldfall/weldfall/wire"
)

// MaxMessage bounds one message in bytes: a configuration value of a megabyte
// or a request body, base64-encoded, with its envelope.
const MaxMessage = 12 << 20

// format is the first byte of a message.
type format byte

const (
	// formatRPC is a JSON-RPC 2.0 object.
	formatRPC format = 'j'
	// formatFrame is a piece of an answer as MessagePack. Answers are most of
	// the messages; as JSON-RPC notifications they cost several times more.
	formatFrame format = 'f'
)

// stream carries messages of both formats over one connection, each behind
// its length. It refuses oversize ones and counts the bytes of control
// traffic by kind, in both directions.
type stream struct {
	conn  io.Closer
	r     *bufio.Reader
	class Class
	// frame takes the frames, in order with the other messages.
	frame func(wire.Frame)

	mu  sync.Mutex
	w   *bufio.Writer
	buf bytes.Buffer
	enc *msgpack.Encoder
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn io.ReadWriteCloser, class Class, frame func(wire.Frame)) *stream {
	s := &stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn), class: class, frame: frame}
	s.enc = msgpack.NewEncoder(&s.buf)
	s.enc.UseArrayEncodedStructs(true)
	return s
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count("out", data)
	return s.write(formatRPC, data)
}

// WriteFrame sends a frame.
func (s *stream) WriteFrame(f wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf.Reset()
	if err := s.enc.Encode(f); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	return s.write(formatFrame, s.buf.Bytes())
}

// write sends one message; the caller holds mu.
func (s *stream) write(f format, data []byte) error {
	if len(data) > MaxMessage {
		return fmt.Errorf("encode message: %d bytes exceed the limit of %d", len(data), MaxMessage)
	}
	var head [binary.MaxVarintLen64 + 1]byte
	head[0] = byte(f)
	n := binary.PutUvarint(head[1:], uint64(len(data)))
	if _, err := s.w.Write(head[:n+1]); err != nil {
		return err
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.w.Flush()
}

// ReadObject implements jsonrpc2.ObjectStream. Frames that come first are
// delivered on the way.
func (s *stream) ReadObject(v any) error {
	for {
		f, data, err := s.read()
		if err != nil {
			return err
		}
		switch f {
		case formatRPC:
			s.count("in", data)
			if err := json.Unmarshal(data, v); err != nil {
				return fmt.Errorf("decode message: %w", err)
			}
			return nil
		case formatFrame:
			var fr wire.Frame
			if err := msgpack.Unmarshal(data, &fr); err != nil {
				return fmt.Errorf("decode frame: %w", err)
			}
			s.frame(fr)
		default:
			return fmt.Errorf("decode message: unknown format %q", byte(f))
		}
	}
}

func (s *stream) read() (format, []byte, error) {
	f, err := s.r.ReadByte()
	if err != nil {
		return 0, nil, err
	}
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return 0, nil, err
	}
	if n > MaxMessage {
		return 0, nil, fmt.Errorf("decode message: %d bytes exceed the limit of %d", n, MaxMessage)
	}
	data := make([]byte, n)
	_, err = io.ReadFull(s.r, data)
	return format(f), data, err
}

var methodMark = []byte(`"method":"`)

// kindHead is how far into a message its method is looked for; the library
// writes the keys of the envelope in alphabetic order.
const kindHead = 160

// kindOf finds the method of an encoded message; answers have none.
func kindOf(data []byte) string {
	head := data[:min(len(data), kindHead)]
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

func (s *stream) count(direction string, data []byte) {
	if s.class == Data {
		return
	}
	name := fmt.Sprintf(`weldfall_control_bytes_total{direction=%q,kind=%q}`, direction, kindOf(data))
	metrics.GetOrCreateCounter(name).Add(len(data))
}
