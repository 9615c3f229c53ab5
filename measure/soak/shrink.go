package soak

import (
	"context"
	"slices"
)

// Shrink searches for a smaller schedule that also violates a guarantee, with at most the
// given number of runs. A violation that depends on timing may not occur again; the
// schedule then stays as it is.
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

// dropOne leaves out each of the given number of parts in turn, and returns the first run
// with a violation.
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
