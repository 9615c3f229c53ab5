package gate

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/table"
)

// resumption is what a request says about the stream that it resumes. The zero value is
// that of a request that begins a stream.
type resumption struct {
	// origin is the ID of the caller's attempt that received the first event.
	origin string
	// after is the ID of the last event that the caller received.
	after string
}

// resumption returns what a call for a stream resumes.
func (g *Gate) resumption(c *call) resumption {
	if c.route == nil || c.route.Kind != table.Stream {
		return resumption{}
	}
	return resumption{origin: c.r.Header.Get(g.wire.Resumes), after: c.r.Header.Get(g.wire.LastEventID)}
}

// resumes reports whether the request resumes a stream.
func (r resumption) resumes() bool { return r.origin != "" || r.after != "" }

// maxLoggedID limits the IDs of callers in log lines, in bytes.
const maxLoggedID = 64

func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// Who continued a stream, and at which software version, in counters.
const (
	byCaller       = "caller"
	byEntry        = "entry"
	sameVersion    = "same"
	otherVersion   = "other"
	unknownVersion = "unknown"
)

// countContinuation counts an engine's response that continues a stream.
func countContinuation(by, version string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_streams_continued_total{by=%q,version=%q}`, by, version)).Inc()
}

// recordContinuation counts the response of an engine if it continues a stream.
func (g *Gate) recordContinuation(c *call, version string) {
	switch {
	case c.reply.Started() && version == c.version:
		countContinuation(byEntry, sameVersion)
	case c.reply.Started():
		countContinuation(byEntry, otherVersion)
	case g.resumption(c).resumes():
		countContinuation(byCaller, unknownVersion)
	}
}
