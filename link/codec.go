package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link/wire"
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
	// flushDue is true while frames wait for a flush that is due.
	flushDue bool
	// flushErr is the error of a flush that nobody waited for.
	flushErr error
}

// writeBuffer is the size of the buffer for messages on their way out, in
// bytes. Control messages are small and their connections many.
var writeBuffer = map[Class]int{Data: 32 << 10, Control: 2 << 10}

// flushDelay is how long a frame that is not an answer's first may wait for
// others of the same connection, so that they go in one write.
const flushDelay clock.Millis = 1

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn io.ReadWriteCloser, class Class, frame func(wire.Frame)) *stream {
	s := &stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriterSize(conn, writeBuffer[class]), class: class, frame: frame}
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
	s.countBytes("out", data)
	if err := s.write(formatRPC, data); err != nil {
		return err
	}
	return s.w.Flush()
}

// WriteFrame sends a frame: the first of an answer at once, others with those
// that come within a moment. An error may be told with a later frame.
func (s *stream) WriteFrame(f wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flushErr != nil {
		return s.flushErr
	}
	s.buf.Reset()
	if err := s.enc.Encode(f); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if err := s.write(formatFrame, s.buf.Bytes()); err != nil {
		return err
	}
	if f.Head != nil {
		return s.w.Flush()
	}
	if !s.flushDue {
		s.flushDue = true
		clock.After(flushDelay, s.flush)
	}
	return nil
}

// flush sends the frames that were gathered.
func (s *stream) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushDue = false
	s.flushErr = s.w.Flush()
}

// write puts one message in the buffer; the caller holds mu.
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
	_, err := s.w.Write(data)
	return err
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
			s.countBytes("in", data)
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

var methodPrefix = []byte(`"method":"`)

// methodSearchLen is how far into a message its method is looked for; the library
// writes the keys of the envelope in alphabetic order.
const methodSearchLen = 160

// kindOf finds the method of an encoded message; answers have none.
func kindOf(data []byte) string {
	head := data[:min(len(data), methodSearchLen)]
	i := bytes.Index(head, methodPrefix)
	if i < 0 {
		return "reply"
	}
	rest := head[i+len(methodPrefix):]
	j := bytes.IndexByte(rest, '"')
	if j < 0 {
		return "unknown"
	}
	return string(rest[:j])
}

func (s *stream) countBytes(direction string, data []byte) {
	if s.class == Data {
		return
	}
	name := fmt.Sprintf(`%s{direction=%q,kind=%q}`, controlMetric, direction, kindOf(data))
	metrics.GetOrCreateCounter(name).Add(len(data))
}

// controlMetric is the name of the counters of control bytes.
const controlMetric = "weldfall_control_bytes_total"

// ControlRate returns the control bytes a second since the start of the
// process, by direction and kind.
func ControlRate(now clock.Millis) map[string]float64 {
	out := map[string]float64{}
	for _, name := range metrics.ListMetricNames() {
		if labels, ok := strings.CutPrefix(name, controlMetric); ok {
			out[labels] = float64(metrics.GetOrCreateCounter(name).Get()) * 1000 / float64(max(1, now))
		}
	}
	return out
}
