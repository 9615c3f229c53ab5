package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// call sends requests to a gate over kept connections until the run is over.
func (w *world) call(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(g*callers+c)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 8 * time.Second}
	defer client.CloseIdleConnections()
	paths := []string{"/safe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	for n := 0; w.ctx.Err() == nil; n++ {
		a := asked{id: fmt.Sprintf("g%dc%dn%d", g, c, n), path: paths[rng.IntN(len(paths))], key: keyKept, sent: time.Now()}
		if rng.IntN(4) == 0 {
			a.key = keyRevoked
		}
		w.rec.add(w.ask(client, w.gates[g].callers, a))
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
	}
}

func (w *world) ask(client *http.Client, addr string, a asked) asked {
	prompt := fmt.Sprintf("p%d:100,q%d:900,%s:10", len(a.id)%3, len(a.id)%7, a.id)
	req, err := standin.NewRequest("http://"+addr+a.path, host, a.id, a.key, prompt)
	if err != nil {
		return a
	}
	res, err := client.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a.status, a.body, a.whole, a.signature = res.StatusCode, string(body), err == nil, standin.Signature(res.Header)
	return a
}
