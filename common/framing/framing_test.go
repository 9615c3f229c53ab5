package framing_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/framing"
)

func TestCompletenessOfResponse(t *testing.T) {
	cases := []struct {
		name, method, response string
		framing                framing.Framing
		completeness           framing.Completeness
	}{
		{"length", "GET", "Content-Length: 4\r\n\r\nbody", framing.Length, framing.Complete},
		{"less than its length", "GET", "Content-Length: 5\r\n\r\nbody", framing.Length, framing.Incomplete},
		{"empty", "GET", "Content-Length: 0\r\n\r\n", framing.Length, framing.Complete},
		{"chunks", "GET", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", framing.Chunked, framing.Complete},
		{"chunks without the last", "GET", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", framing.Chunked, framing.Incomplete},
		{"truncated chunk", "GET", "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", framing.Chunked, framing.Incomplete},
		{"until close", "GET", "\r\nbody", framing.UntilClose, framing.Closed},
		{"until close, announced", "GET", "Connection: close\r\n\r\nbody", framing.UntilClose, framing.Closed},
		{"no body", "HEAD", "\r\n", framing.Length, framing.Complete},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+tc.response)), &http.Request{Method: tc.method})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			f := framing.OfResponse(res)
			if f != tc.framing {
				t.Errorf("got framing %s, want %s", f, tc.framing)
			}
			var end error = io.EOF
			for buf := make([]byte, 16); ; {
				if _, end = res.Body.Read(buf); end != nil {
					break
				}
			}
			if got := f.Completeness(end); got != tc.completeness {
				t.Errorf("got %s by %v, want %s", got, end, tc.completeness)
			}
		})
	}
}

// Every combination of framing, error, progress of the request and state of the sender.
func TestCompletenessOfAnEnd(t *testing.T) {
	reset := errors.New("connection reset by peer")
	for _, f := range []framing.Framing{framing.Length, framing.Chunked, framing.UntilClose} {
		for _, sending := range []framing.Sending{framing.Sent, framing.SendFailed, framing.SendPending} {
			for _, sender := range []framing.Sender{"", framing.SenderStands, framing.SenderEnded, framing.SenderDisconnected, framing.SenderLeaves, framing.SenderUnknown} {
				for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, reset} {
					want := framing.Complete
					switch {
					case !errors.Is(err, io.EOF):
						want = framing.Incomplete
					case f == framing.UntilClose && (sending != framing.Sent || (sender != "" && sender != framing.SenderStands)):
						want = framing.Incomplete
					case f == framing.UntilClose:
						want = framing.Closed
					}
					checked := framing.End{Framing: f, Err: err, Sending: sending, Sender: sender}.CheckedErr()
					if got := f.Completeness(checked); got != want {
						t.Errorf("%s, %v, request %s, sender %q: got %s by %v, want %s", f, err, sending, sender, got, checked, want)
					}
					if !errors.Is(err, io.EOF) && !errors.Is(checked, err) {
						t.Errorf("%s, %v, request %s, sender %q: got %v, want the error kept", f, err, sending, sender, checked)
					}
				}
			}
		}
	}
}
