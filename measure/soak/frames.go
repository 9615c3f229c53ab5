package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

// proto is how a caller sends requests and reads responses.
type proto string

const (
	// library is the client of net/http.
	library proto = "library"
	// raw11 and raw10 are TCP connections, one for each request, whose callers parse the
	// framing themselves.
	raw11 proto = "HTTP/1.1"
	raw10 proto = "HTTP/1.0"
)

// protos are drawn with equal probability for each caller.
var protos = []proto{library, raw11, raw10}

// message is a parsed response.
type message struct {
	status int
	header textproto.MIMEHeader
	body   []byte
	// ending is how the message ended by its framing, and err why it is incomplete.
	ending framing.Completeness
	err    error
	// fault is an error in the framing, "" if there is none.
	fault string
}

// readMessage reads a response to a request other than HEAD (RFC 9112, section 6.3).
func readMessage(br *bufio.Reader, by proto) message {
	m := message{ending: framing.Incomplete}
	tr := textproto.NewReader(br)
	line, err := tr.ReadLine()
	if err != nil {
		m.err = err
		return m
	}
	_, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil {
		m.err, m.fault = err, fmt.Sprintf("an invalid status line %q", line)
		return m
	}
	if m.header, m.err = tr.ReadMIMEHeader(); m.err != nil {
		return m
	}
	m.status = status
	coding, lengths := m.header.Values("Transfer-Encoding"), m.header.Values("Content-Length")
	switch {
	case len(coding) > 0 && len(lengths) > 0, len(lengths) > 1:
		m.fault = fmt.Sprintf("transfer codings %q and content lengths %q", coding, lengths)
	case len(coding) > 0 && by == raw10:
		m.fault = fmt.Sprintf("transfer codings %q for HTTP/1.0", coding)
	case len(coding) > 0:
		m.body, m.err = readChunks(br, tr)
		m.setEnding(framing.Complete)
	case len(lengths) > 0:
		n, err := strconv.Atoi(lengths[0])
		if err != nil {
			m.fault = fmt.Sprintf("an invalid content length %q", lengths[0])
			return m
		}
		m.body = make([]byte, n)
		n, m.err = io.ReadFull(br, m.body)
		m.body = m.body[:n]
		m.setEnding(framing.Complete)
	default:
		m.body, m.err = io.ReadAll(br)
		m.setEnding(framing.Closed)
	}
	return m
}

func (m *message) setEnding(end framing.Completeness) {
	if m.err == nil {
		m.ending = end
	}
}

// readChunks reads chunks including the last one and the trailers.
func readChunks(br *bufio.Reader, tr *textproto.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := tr.ReadLine()
		if err != nil {
			return body, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return body, fmt.Errorf("chunk size: %w", err)
		}
		if n == 0 {
			_, err := tr.ReadMIMEHeader()
			return body, err
		}
		data := make([]byte, n+2)
		got, err := io.ReadFull(br, data)
		body = append(body, data[:min(got, int(n))]...)
		if err != nil {
			return body, err
		}
		if string(data[n:]) != "\r\n" {
			return body, errors.New("chunk data is not followed by CRLF")
		}
	}
}

// sendRaw sends a request over its own connection and parses the framing of the response.
func (w *deployment) sendRaw(patience time.Duration, addr string, a request) request {
	req, err := w.request(addr, a)
	if err != nil {
		return a
	}
	nc, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		a.gaveUp = timedOut(err)
		return a
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(a.sent.Add(patience))
	// net/http writes requests only as HTTP/1.1.
	var out strings.Builder
	if err := req.Write(&out); err != nil {
		return a
	}
	text := strings.Replace(out.String(), " "+string(raw11)+"\r\n", " "+string(a.proto)+"\r\n", 1)
	if _, err := io.WriteString(nc, text); err != nil {
		a.gaveUp = timedOut(err)
		return a
	}
	m := readMessage(bufio.NewReader(nc), a.proto)
	a.status, a.body, a.ending, a.signature = m.status, string(m.body), m.ending, standin.Signature(http.Header(m.header))
	a.gaveUp, a.fault = timedOut(m.err), m.fault
	// A reset leaves no port in TIME_WAIT.
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	return a
}
