package soak

import (
	"context"
	"slices"
)

// Shrink looks for a smaller schedule on which a promise breaks too, within
// the given number of runs. A run that breaks by timing may not break again;
// then the schedule stays as it was.
func Shrink(ctx context.Context, broken Report, runs int) Report {
	for part := 2; part <= len(broken.Config.Steps) && runs > 0; {
		smaller, ok := dropOne(ctx, broken, part, &runs)
		if ok {
			broken, part = smaller, 2
			continue
		}
		part *= 2
	}
	return broken
}

// dropOne leaves out each of the given number of parts in turn, and returns
// the first run that is still broken.
func dropOne(ctx context.Context, broken Report, parts int, runs *int) (Report, bool) {
	steps := broken.Config.Steps
	size := (len(steps) + parts - 1) / parts
	for from := 0; from < len(steps) && *runs > 0; from += size {
		*runs--
		cfg := broken.Config
		cfg.Steps = slices.Concat(steps[:from], steps[min(len(steps), from+size):])
		r, err := Run(ctx, cfg)
		if err == nil && len(r.Violations) > 0 {
			return r, true
		}
	}
	return Report{}, false
}
