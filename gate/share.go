package gate

import (
	"fmt"
	"math"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/fairshare"
	"github.com/weldfall/weldfall/gate/prompt"
)

const (
	// prefixCost is the cost of a token that other prompts share, which engines often have
	// cached, and responseCost that of a token of the response; a token to read costs 1.
	prefixCost   = 0.1
	responseCost = 4
	// shortPressure is the pressure from which engines count as short of room.
	shortPressure = 0.8
)

// overShare reports whether the workspace of a request uses more than its fair share of
// the service. It counts the request.
func (g *Gate) overShare(c *call) bool {
	if !c.table.RequiresKey() || c.workspace == nil || len(c.table.Priorities(c.service)) < 2 && len(c.prefixKeys) == 0 {
		return false
	}
	d := g.fair.Record(fairshare.Request{
		Service: c.service, Workspace: c.workspace.Name, ID: c.id, Cost: g.cost(c), Short: c.pressure >= shortPressure,
	}, g.clk.Now())
	if d.Changed {
		g.log.Info("share", "service", c.service, "workspace", c.workspace.Name, "over", d.Excess > 1, "usage", math.Round(d.Usage), "part", math.Round(d.Part),
			"excess", tenths(d.Excess), "gates", d.Gates, "age_ms", d.Age)
	}
	if d.Over {
		metrics.GetOrCreateCounter(fmt.Sprintf("weldfall_over_share_total{service=%q}", c.service)).Inc()
	}
	return d.Over
}

// cost returns the work that a request asks for: in tokens to read, or 1 if it says
// nothing of tokens.
func (g *Gate) cost(c *call) float64 {
	response := prompt.MaxResponseTokens(c.r.Header.Get(g.wire.Tokens))
	return max(1, float64(c.suffixTokens)+prefixCost*float64(c.prefixTokens)+responseCost*float64(response))
}

// ReceiveUsage implements peers.Host.
func (g *Gate) ReceiveUsage(from, usage string, at clock.Millis) { g.fair.Receive(from, usage, at) }
