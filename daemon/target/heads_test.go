package target_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/weldfall/weldfall/daemon/target"
)

// Guards against a response that counts as begun, or as whole, though its target stopped within
// its head: after each byte of the head the target ends the connection.
func TestResponseThatEndsWithinItsHeadIsAnError(t *testing.T) {
	heads := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nContent-Length: 12\r\n\r\n",
		"chunked":       "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until close":   "HTTP/1.1 200 OK\r\nX-Attempt: a\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nX-Attempt: a\r\n\r\n",
	}
	ends := map[string]func(nc *net.TCPConn){
		"FIN":        func(*net.TCPConn) {},
		"half-close": func(nc *net.TCPConn) { _ = nc.CloseWrite() },
		"reset":      func(nc *net.TCPConn) { _ = nc.SetLinger(0) },
	}
	for name, head := range heads {
		for ending, end := range ends {
			t.Run(name+" "+ending, func(t *testing.T) {
				t.Parallel()
				cuts := make(chan int, 1)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = ln.Close() }()
				go func() {
					for {
						nc, err := ln.Accept()
						if err != nil {
							return
						}
						if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
							_, _ = nc.Write([]byte(head[:<-cuts]))
							end(nc.(*net.TCPConn))
						}
						_ = nc.Close()
					}
				}()
				c := target.New(ln.Addr().String(), nil)
				for cut := range len(head) {
					cuts <- cut
					res, err := c.Do(t.Context(), target.Request{Attempt: fmt.Sprint(cut), Method: http.MethodPost, Path: "/x", Body: []byte("b"), AtMostOnce: true})
					if err == nil {
						_ = res.Body.Close()
						t.Errorf("after %d bytes: got status %d, want an error", cut, res.StatusCode)
					}
				}
			})
		}
	}
}
