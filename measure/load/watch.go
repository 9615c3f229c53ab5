package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
)

// skewScale stores ratios with three decimals in an integer histogram.
const skewScale = 1000

// watchPeriod is how often the loads of the engines are read.
const watchPeriod clock.Millis = 250

// watchSkew reads the loads of the engines from the admin page until ctx is done.
func (r *runner) watchSkew(ctx context.Context) {
	if len(r.cfg.AdminURLs) == 0 {
		return
	}
	clock.Every(ctx, watchPeriod, func() {
		for _, ratio := range r.skewRatios() {
			_ = r.skew.RecordValue(int64(ratio * skewScale))
		}
	})
}

// skewRatios returns the ratio of the highest to the mean load for each pool whose mean is
// at least one.
func (r *runner) skewRatios() []float64 {
	var engines []struct {
		Pool     string `json:"pool"`
		Requests int    `json:"requests"`
	}
	body := r.fetchAdmin("/engines")
	if json.Unmarshal([]byte(body), &engines) != nil {
		return nil
	}
	type sums struct{ n, total, top int }
	pools := map[string]*sums{}
	for _, e := range engines {
		s := pools[e.Pool]
		if s == nil {
			s = &sums{}
			pools[e.Pool] = s
		}
		s.n++
		s.total += e.Requests
		s.top = max(s.top, e.Requests)
	}
	var out []float64
	for _, s := range pools {
		if mean := float64(s.total) / float64(s.n); mean >= 1 {
			out = append(out, float64(s.top)/mean)
		}
	}
	return out
}

func (r *runner) fetchAdmin(path string) string {
	res, err := r.http.Get(strings.TrimSuffix(r.cfg.AdminURLs[0], "/") + path)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}

// controlBytes returns the control bytes by direction and kind.
func (r *runner) controlBytes() map[string]float64 {
	out := map[string]float64{}
	if len(r.cfg.AdminURLs) == 0 {
		return out
	}
	for line := range strings.SplitSeq(r.fetchAdmin("/metrics"), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if !ok || !strings.HasPrefix(name, "weldfall_control_bytes_total{") {
			continue
		}
		var v float64
		if _, err := fmt.Sscan(value, &v); err == nil {
			out[strings.NewReplacer(`weldfall_control_bytes_total{direction="`, "", `",kind="`, ".", `"}`, "").Replace(name)] += v
		}
	}
	return out
}
