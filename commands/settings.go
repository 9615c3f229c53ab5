package commands

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/settings"
)

type checkCmd struct {
	Paths []string `arg:"positional,required" placeholder:"PATH" help:"files or folders; the path below the folder names the branch: fleet.toml, PARTNER.toml, PARTNER/WORKSPACE.toml, PARTNER/WORKSPACE/SERVICE.toml"`
}

// run checks all branches together, because a branch can lock keys below it.
func (c *checkCmd) run(out, errOut io.Writer) error {
	tree := settings.NewTree()
	var problems []error
	n := 0
	for _, root := range c.Paths {
		err := walkBranches(root, func(path, file, text string) {
			n++
			if _, err := tree.Apply(path, text, int64(n)); err != nil {
				problems = append(problems, fmt.Errorf("%s: %w", file, err))
			}
		})
		if err != nil {
			return usageError{err}
		}
	}
	for _, path := range tree.Paths() {
		if err := tree.LockedKey(path); err != nil {
			problems = append(problems, err)
		}
	}
	for _, err := range problems {
		_, _ = fmt.Fprintln(errOut, err)
	}
	if len(problems) > 0 {
		return usagef("%d of %d branches are not valid", len(problems), n)
	}
	_, err := fmt.Fprintf(out, "%d branches are valid\n", n)
	return err
}

// walkBranches calls f for the TOML files below root in lexical order.
func walkBranches(root string, f func(path, file, text string)) error {
	return filepath.WalkDir(root, func(file string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(file) != ".toml" {
			return err
		}
		rel, err := filepath.Rel(root, file)
		if err != nil || rel == "." {
			rel = filepath.Base(file)
		}
		text, err := readFile(file)
		if err != nil {
			return err
		}
		f(strings.TrimSuffix(filepath.ToSlash(rel), ".toml"), file, text)
		return nil
	})
}

type explainCmd struct {
	Path string `arg:"--path,required" help:"fleet, PARTNER, PARTNER/WORKSPACE or PARTNER/WORKSPACE/SERVICE"`
	Key  string `arg:"positional" help:"one key, for example routing.load_bound"`
	From string `arg:"--from" help:"URL of the admin address of a running process"`
	Tree string `arg:"--tree" help:"folder with branches, instead of a running process"`
}

func (c *explainCmd) run(out, _ io.Writer) error {
	sources, err := c.sources()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KEY\tVALUE\tSET BY\tREVISION")
	for _, s := range sources {
		value, err := json.Marshal(s.Value)
		if err != nil {
			return fmt.Errorf("explain %s: %w", s.Key, err)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", s.Key, value, s.Path, s.Revision)
	}
	return w.Flush()
}

// sources returns the effective settings from the tree or the process.
func (c *explainCmd) sources() ([]settings.Source, error) {
	if (c.From == "") == (c.Tree == "") {
		return nil, usagef("explain: pass either --from URL or --tree FOLDER")
	}
	if c.Tree != "" {
		tree := settings.NewTree()
		var problems error
		n := int64(0)
		err := walkBranches(c.Tree, func(path, file, text string) {
			n++
			if _, err := tree.Apply(path, text, n); err != nil {
				problems = errors.Join(problems, fmt.Errorf("%s: %w", file, err))
			}
		})
		if err = errors.Join(err, problems); err != nil {
			return nil, usageError{err}
		}
		sources, err := tree.Explain(c.Path, c.Key)
		if err != nil {
			return nil, usageError{err}
		}
		return sources, nil
	}
	var page struct {
		Settings []settings.Source `json:"settings"`
	}
	q := url.Values{"path": {c.Path}, "key": {c.Key}}
	err := getJSON(strings.TrimSuffix(c.From, "/")+"/settings?"+q.Encode(), &page)
	return page.Settings, err
}

const maxPageBytes = 64 << 20

// getJSON decodes the page at u into v. It fails if the status is not 200 or the
// page exceeds maxPageBytes.
func getJSON(u string, v any) error {
	res, err := http.Get(u)
	if err != nil {
		return fmt.Errorf("get %s: %w", u, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := whole.Read(res.Body, res.ContentLength, maxPageBytes)
	if err != nil {
		return fmt.Errorf("get %s: %w", u, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %d: %s", u, res.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("get %s: %w", u, err)
	}
	return nil
}
