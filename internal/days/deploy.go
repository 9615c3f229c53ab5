package days

import (
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

type tree = map[string]any

// deployments are edits of a site file by name. An eighth or eight times the
// memory and a third or three times the speed lie beyond what sites have.
var deployments = map[string]func(tree){
	"small-memory": func(t tree) { scale(t["services"], 1.0/8, "kv_tokens") },
	"large-memory": func(t tree) { scale(t["services"], 8, "kv_tokens") },
	"slow-reading": func(t tree) { scale(t["services"], 1.0/3, "prefill_tokens_per_ms") },
	"fast-reading": func(t tree) { scale(t["services"], 3, "prefill_tokens_per_ms") },
	"slow-moves": func(t tree) {
		scale(t["services"], 1.0/20, "link_mbps")
		scale(t["services"], 2.0/3, "prefill_tokens_per_ms")
		chats(t, 3)
	},
	"long-prompts":     func(t tree) { length(t, 3, nil) },
	"few-connections":  func(t tree) { scale(t["services"], 0.25, "conn_cap") },
	"many-connections": func(t tree) { scale(t["services"], 4, "conn_cap") },
	"short-bounds":     func(t tree) { scale(t["bounds"], 0.75, "drain_ms", "config_ms", "grace_s") },
	"long-bounds":      func(t tree) { scale(t["bounds"], 2, "drain_ms", "config_ms", "grace_s") },
	"thin-store":       func(t tree) { scale(t["platform"], 1.0/200, "writes_per_s", "reads_per_s") },
	"one-hall":         oneHall,
	"one-entry":        func(t tree) { entries(t, 1) },
	"twelve-entries":   func(t tree) { entries(t, 12) },
}

// Deployments returns the names of the edits.
func Deployments() []string { return slices.Sorted(maps.Keys(deployments)) }

// EditSite applies a deployment to the text of a site file.
func EditSite(text []byte, name string) ([]byte, error) {
	change, t := deployments[name], tree{}
	seed, derived := derivedSeed(name)
	if change == nil && !derived {
		return nil, fmt.Errorf("no deployment %q; there are %s and %sSEED", name, Deployments(), derivedPrefix)
	}
	if err := toml.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	if derived {
		did := derive(t, seed)
		out, err := toml.Marshal(t)
		return append([]byte("# "+name+": "+did+"\n"), out...), err
	}
	change(t)
	return toml.Marshal(t)
}

// WriteEdited applies deployments to a site file, and writes the new one with what
// the bench wants beside it into dir.
func WriteEdited(path, dir string, names []string) (string, error) {
	base := filepath.Base(path)
	for _, file := range []string{base, "wire.json", "CUT"} {
		text, err := os.ReadFile(filepath.Join(filepath.Dir(path), file))
		for i := 0; file == base && err == nil && i < len(names); i++ {
			text, err = EditSite(text, names[i])
		}
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, file), text, 0o644)
		}
		if err != nil {
			return "", fmt.Errorf("site file with wire.json and CUT beside it: %w", err)
		}
	}
	return filepath.Join(dir, base), nil
}

// walk visits each table below a node.
func walk(node any, visit func(tree)) {
	switch node := node.(type) {
	case []any:
		for _, item := range node {
			walk(item, visit)
		}
	case tree:
		visit(node)
		for _, item := range node {
			walk(item, visit)
		}
	}
}

// scale multiplies all figures of these names below a node; whole ones stay
// whole and 1 at least.
func scale(node any, by float64, names ...string) {
	walk(node, func(t tree) {
		for _, name := range names {
			switch v := t[name].(type) {
			case int64:
				t[name] = max(1, int64(math.Round(float64(v)*by)))
			case float64:
				t[name] = v * by
			}
		}
	})
}

// oneHall puts all that is in a zone into the first.
func oneHall(t tree) {
	zones, _ := t["zones"].([]any)
	first := zones[:min(1, len(zones))]
	t["zones"] = first
	walk(first, func(zone tree) {
		walk(t, func(t tree) {
			for _, name := range []string{"zone", "to_zone"} {
				if _, ok := t[name].(string); ok {
					t[name] = zone["name"]
				}
			}
		})
	})
}

// entries spreads so many evenly over the machines without an app; a group that
// gets none goes, with its spare ones.
func entries(t tree, count int) {
	var own []tree
	walk(t["machines"], func(m tree) {
		if m["app"] == nil {
			own = append(own, m)
		}
	})
	for i, m := range own {
		m["count"] = (count + len(own) - 1 - i) / len(own)
	}
	all, _ := t["machines"].([]any)
	t["machines"] = slices.DeleteFunc(all, func(m any) bool { return m.(tree)["count"] == 0 })
}
