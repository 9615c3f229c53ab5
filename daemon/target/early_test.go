package target_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/weldfall/weldfall/daemon/target"
)

// earlyService accepts connections and responds once it has read the head of a request, without a
// length. end ends the connection.
func earlyService(t *testing.T, end func(nc *net.TCPConn)) *target.Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				if _, err := http.ReadRequest(bufio.NewReaderSize(nc, 1<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\npart")
				end(nc.(*net.TCPConn))
			}()
		}
	}()
	return target.New(ln.Addr().String(), nil)
}

// Guards against a part of a response that counts as complete: the service responded to a long
// upload at once, without a length, and reset the connection. The write of the request took the
// reset, and the response seemed to end with a FIN.
func TestResponseResetDuringTheUploadIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
		for _, size := range []int{30 << 10, 300 << 10, 900 << 10, 4 << 20} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d KiB, reset after %v, at most once %t", size>>10, pause, once), func(t *testing.T) {
					t.Parallel()
					c := earlyService(t, func(nc *net.TCPConn) {
						time.Sleep(pause)
						_ = nc.SetLinger(0)
					})
					for n := range 100 {
						res, err := c.Do(t.Context(), target.Request{Method: http.MethodPost, Path: "/x", Body: bytes.Repeat([]byte("b"), size), AtMostOnce: once})
						if err != nil {
							continue
						}
						body, err := io.ReadAll(res.Body)
						_ = res.Body.Close()
						if err == nil {
							t.Errorf("request %d: got %q and no error, want an error", n, body)
						}
					}
				})
			}
		}
	}
}

// A service may respond before it has read the whole request and go on reading.
func TestResponseHalfClosedDuringTheUploadIsComplete(t *testing.T) {
	c := earlyService(t, func(nc *net.TCPConn) {
		_ = nc.CloseWrite()
		_, _ = io.Copy(io.Discard, nc)
	})
	for n := range 20 {
		res, err := c.Do(t.Context(), target.Request{Method: http.MethodPost, Path: "/x", Body: bytes.Repeat([]byte("b"), 900<<10)})
		if err != nil {
			t.Errorf("request %d: got %v, want a response", n, err)
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if string(body) != "part" || err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("request %d: got %q, %v, want the whole body", n, body, err)
		}
	}
}
