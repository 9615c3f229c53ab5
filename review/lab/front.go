package lab

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// maxWatchBytes is the size of the values after which the answer to a watch ends. Later events
// follow in the answer to the next watch, which goes on from the revision of the last one. The
// pages give about 1 MB for a range, and the bench's store ends the answer to a watch there, too.
const maxWatchBytes = 1 << 20

// Front is the way of one gate to the store. It limits the size of answers to watches.
type Front struct {
	// Addr is where the gate reaches the store.
	Addr string

	store  http.Handler
	refuse atomic.Bool
	srv    *http.Server
}

// NewFront returns the way of a gate to the store of the lab.
func (l *Lab) NewFront() (*Front, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Front{Addr: ln.Addr().String(), store: l.Store}
	f.srv = &http.Server{Handler: f}
	go func() { _ = f.srv.Serve(ln) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fronts = append(l.fronts, f)
	return f, nil
}

// SetRefusing makes the store answer the gate's calls with 429, those that wait included.
func (f *Front) SetRefusing(refuse bool) { f.refuse.Store(refuse) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.refuse.Load() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if r.URL.Path != "/-/kv-watch" {
		f.store.ServeHTTP(w, r)
		return
	}
	a := &answer{header: http.Header{}, status: http.StatusOK}
	f.store.ServeHTTP(a, r)
	switch {
	case r.Context().Err() != nil:
		return
	case f.refuse.Load():
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case a.status != http.StatusOK:
		w.WriteHeader(a.status)
		return
	}
	body := limitWatch(a.body.Bytes())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// The gate may have gone.
	_, _ = w.Write(body)
}

// answer records an answer of the store.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

// limitWatch returns the answer to a watch without the events beyond maxWatchBytes.
func limitWatch(body []byte) []byte {
	var all struct {
		Events        []json.RawMessage `json:"events"`
		StoreRevision int64             `json:"storeRevision"`
	}
	if json.Unmarshal(body, &all) != nil {
		return body
	}
	size := 0
	for i, e := range all.Events {
		if size += base64.StdEncoding.DecodedLen(len(e)); size < maxWatchBytes || i == len(all.Events)-1 {
			continue
		}
		var last struct {
			Revision int64 `json:"revision"`
		}
		if json.Unmarshal(e, &last) != nil {
			return body
		}
		all.Events, all.StoreRevision = all.Events[:i+1], last.Revision
		break
	}
	limited, err := json.Marshal(all)
	if err != nil {
		return body
	}
	return limited
}
