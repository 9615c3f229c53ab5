package gate

import (
	"errors"
	"fmt"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// retryVersion is sent in Retry-After if no engine of the version is available. One that
// crashed may be back.
const retryVersion clock.Millis = 1000

// errOtherVersion means that an engine restarted with another software version while it
// continued a stream.
var errOtherVersion = errors.New("the engine restarted with another software version")

// checkVersion returns an error if, by the list, the engine of an exchange has another
// version than the stream that it continues.
func (x exchange) checkVersion() error {
	if x.c.versionBasis == "" {
		return nil
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if e := x.g.registry.Get(x.with.ID); e != nil && e.Info().Version != x.c.version {
		return fmt.Errorf("%w: %q, the stream began at %q", errOtherVersion, e.Info().Version, x.c.version)
	}
	return nil
}

// canContinue reports whether another engine may continue the call.
func (g *Gate) canContinue(c *call) bool {
	if c.versionBasis == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.registry.HasUntried(c.service, c.version, c.tried, g.clk.Now())
	if !ok {
		g.recordNotContinued(c)
	}
	return ok
}

// noEngineOfVersion returns the error for a stream that no engine of its version can
// continue. The caller holds mu.
func (g *Gate) noEngineOfVersion(c *call) *verdict.Error {
	g.recordNotContinued(c)
	return verdict.New(c.verdict(), verdict.VersionGone, "no engine of %s with the software version %q that began the stream is available, listed are %q",
		c.service, c.requiredVersion(), g.registry.Versions(c.service)).WithRetryAfter(retryVersion)
}

// recordNotContinued logs and counts a stream that no engine of its version can continue.
// The caller holds mu.
func (g *Gate) recordNotContinued(c *call) {
	countNotContinued(verdict.VersionGone, "")
	g.log.Info("stream_not_continued", "request", c.id, "service", c.service, "version", c.requiredVersion(), "basis", c.versionBasis,
		"listed", g.registry.Versions(c.service), "tried", len(c.tried))
}
