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

// MaxMessage limits one message in bytes. It fits a configuration value of a megabyte or
// a request body, base64-encoded, with its envelope.
const MaxMessage = 12 << 20

// format is the first byte of a message.
type format byte

const (
	// formatRPC marks a JSON-RPC 2.0 object.
	formatRPC format = 'j'
	// formatFrame marks a part of a response, as MessagePack. Most messages are frames,
	// and as JSON-RPC notifications they cost several times more.
	formatFrame format = 'f'
)

// stream carries messages of both formats over one connection, each prefixed with its
// length. It rejects messages over MaxMessage and counts the bytes of control traffic by
// kind, in both directions.
type stream struct {
	conn  io.Closer
	r     *bufio.Reader
	class Class
	// frame handles received frames, in order with the other messages.
	frame func(wire.Frame)
	// arrivals has the account of incomplete messages, nil if there is none.
	arrivals *arrivals

	mu  sync.Mutex
	w   *bufio.Writer
	buf bytes.Buffer
	enc *msgpack.Encoder
	// flushDue is true while frames are buffered and a flush is scheduled.
	flushDue bool
	// flushErr is the error of the latest scheduled flush.
	flushErr error
}

// writeBuffer is the size in bytes of the buffer for outgoing messages. Control messages
// are small and their connections many.
var writeBuffer = map[Class]int{Data: 32 << 10, Control: 2 << 10}

// flushDelay is how long a frame that does not begin a response may be buffered, so that
// several frames of a connection go in one write.
const flushDelay clock.Millis = 1

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn io.ReadWriteCloser, class Class, arriving *arrivals, frame func(wire.Frame)) *stream {
	s := &stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriterSize(conn, writeBuffer[class]), class: class, arrivals: arriving, frame: frame}
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

// WriteFrame sends a frame. The first frame of a response is flushed at once, others
// after flushDelay. The error of a delayed flush is returned for a later frame.
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
		clock.AfterFunc(flushDelay, s.flush)
	}
	return nil
}

// flush sends the buffered frames.
func (s *stream) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushDue = false
	s.flushErr = s.w.Flush()
}

// write adds one message to the buffer. The caller holds mu.
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

// ReadObject implements jsonrpc2.ObjectStream. It passes the frames that come before the
// next object to s.frame.
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
			if err := checkNesting(data); err != nil {
				return fmt.Errorf("decode frame: %w", err)
			}
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
	data, err := s.readMessage(int(n))
	return format(f), data, err
}

var methodPrefix = []byte(`"method":"`)

// methodSearchLen is how many bytes of a message are searched for its method. The library
// writes the keys of the envelope in alphabetical order.
const methodSearchLen = 160

// kindOf returns the method of an encoded message, or "reply" if it has none.
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

// controlMetric is the name of the counters of control traffic.
const controlMetric = "weldfall_control_bytes_total"

// ControlRate returns the bytes of control traffic a second since the start of the
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
