package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/witness"
)

// watchedBody is the body of a response that ends with its connection.
type watchedBody struct {
	io.ReadCloser
	watch  *witness.Watch
	client *Client
}

// Close implements io.Closer.
func (b watchedBody) Close() error {
	b.watch.Stop()
	return b.ReadCloser.Close()
}

// send sends a request and watches the sender of a response that ends with its connection, until
// its body is closed.
func (c *Client) send(client *http.Client, req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if checked, ok := info.Conn.(interface{ NetConn() net.Conn }); ok {
			nc := checked.NetConn()
			used.Store(&nc)
		}
	}}
	res, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if nc := used.Load(); err == nil && nc != nil && framing.OfResponse(res) == framing.UntilClose {
		res.Body = watchedBody{ReadCloser: res.Body, watch: c.conns.Watch(*nc), client: c}
	}
	return res, err
}

// Sender returns what is known of the process that sent a response of Do or Resume, once the
// response has ended with its connection and before its body is closed.
func Sender(ctx context.Context, res *http.Response) framing.Sender {
	b, ok := res.Body.(watchedBody)
	if !ok {
		return framing.SenderUnknown
	}
	return b.watch.Sender(ctx, b.client.Exited)
}
