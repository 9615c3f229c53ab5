package commands

import (
	"fmt"
	"io"

	"github.com/weldfall/weldfall/platform"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/table/review"
)

type reviewCmd struct {
	Path    string `arg:"positional,required" placeholder:"FILE" help:"the config as it is to be published, in JSON"`
	InForce string `arg:"--in-force" placeholder:"FILE" help:"the config in force, to show what differs from it"`
}

// run prints what it finds, a line each. It fails if the config has errors; entries that never
// match and contradictions are warnings.
func (c *reviewCmd) run(out, _ io.Writer) error {
	next, err := readConfig(c.Path)
	if err != nil {
		return err
	}
	findings := review.Check(next)
	if c.InForce != "" {
		inForce, err := readConfig(c.InForce)
		if err != nil {
			return err
		}
		findings = append(findings, review.Compare(inForce, next)...)
	}
	counts := map[review.Kind]int{}
	for _, f := range review.Sorted(findings) {
		counts[f.Kind]++
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	if n := counts[review.Error]; n > 0 {
		return usagef("%s: version %d has %d errors", c.Path, next.Version, n)
	}
	_, err = fmt.Fprintf(out, "version %d: no errors, %d entries that never match, %d contradictions, %d differences\n",
		next.Version, counts[review.NeverMatches], counts[review.Contradiction], counts[review.Difference])
	return err
}

func readConfig(path string) (table.Config, error) {
	text, err := readFile(path)
	if err != nil {
		return table.Config{}, err
	}
	cfg, err := platform.ParsePublished([]byte(text))
	if err != nil {
		return table.Config{}, usagef("%s: %w", path, err)
	}
	return cfg, nil
}
