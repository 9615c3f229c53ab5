package gate

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/table"
)

// hopByHop are the headers that concern a single connection or that this process writes
// itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

// request returns the request that is sent to the engine.
func (g *Gate) request(c *call, e pick, now clock.Millis) *upstream.Request {
	h := make(http.Header, len(c.r.Header)+addedHeaders)
	dropped := connectionNames(c.r.Header)
	for k, v := range c.r.Header {
		if !hopByHop[k] && !g.reserved[k] && !dropped[k] {
			h[k] = v
		}
	}
	if c.table.RequiresKey() && !c.route.Public {
		delete(h, "Authorization")
	}
	h.Set(g.wire.Deadline, strconv.FormatInt(int64(max(1, c.timeLeft(now))), 10))
	h.Set(g.wire.ExpectEngine, e.ID)
	h.Set(g.wire.Priority, strconv.Itoa(priority(c)))
	if c.workspace != nil {
		h.Set(g.wire.Tenant, c.workspace.Name)
	}
	if e.source != "" {
		h.Set(g.wire.FetchFrom, e.source)
	}
	if id := c.reply.LastEventID(); id != "" {
		h.Set(g.wire.LastEventID, id)
	}
	return &upstream.Request{
		ID: c.id, Engine: e.ID, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h,
		Body: c.body, HasBody: c.r.ContentLength > 0 || len(c.r.TransferEncoding) > 0,
		SilenceTimeout: suspectAfter(c.route), WriteTimeout: c.timeLeft(now),
	}
}

// suspectAfter returns how long a request waits for output of its engine before the
// connections to the engine become suspect: the time after which the request, or a stream
// of its kind, would move to another engine if it could be retried.
func suspectAfter(r *table.Route) clock.Millis {
	if r.Kind != table.Stream {
		return maxSilence(r)
	}
	return max(maxSilence(r), streamSilence(r))
}

// addedHeaders is the number of headers that this process adds.
const addedHeaders = 7

// lowestPriority is the largest priority value that engines accept.
const lowestPriority = 9

func priority(c *call) int {
	p := c.route.Priority
	if c.workspace != nil && c.workspace.Priority != nil {
		p = *c.workspace.Priority
	}
	return min(lowestPriority, max(0, p))
}

// connectionNames returns the headers that Connection names.
func connectionNames(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
