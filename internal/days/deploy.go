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

// tree is a decoded TOML table.
type tree = map[string]any

// deployments are edits of a site file by name. The factors of 8 for the memory and of 3 for
// the speed exceed the range of real sites.
var deployments = map[string]func(tree){
	"small-memory": func(t tree) { scale(t["services"], 1.0/8, "kv_tokens") },
	"large-memory": func(t tree) { scale(t["services"], 8, "kv_tokens") },
	"slow-reading": func(t tree) { scale(t["services"], 1.0/3, "prefill_tokens_per_ms") },
	"fast-reading": func(t tree) { scale(t["services"], 3, "prefill_tokens_per_ms") },
	"slow-moves": func(t tree) {
		scale(t["services"], 1.0/20, "link_mbps")
		scale(t["services"], 2.0/3, "prefill_tokens_per_ms")
		scaleChats(t, 3)
	},
	"long-prompts":     func(t tree) { scalePrompts(t, 3, nil) },
	"few-connections":  func(t tree) { scale(t["services"], 0.25, "conn_cap") },
	"many-connections": func(t tree) { scale(t["services"], 4, "conn_cap") },
	"short-bounds":     func(t tree) { scale(t["bounds"], 0.75, "drain_ms", "config_ms", "grace_s") },
	"long-bounds":      func(t tree) { scale(t["bounds"], 2, "drain_ms", "config_ms", "grace_s") },
	"thin-store":       func(t tree) { scale(t["platform"], 1.0/200, "writes_per_s", "reads_per_s") },
	"one-hall":         mergeZones,
	"one-entry":        func(t tree) { setEntryCount(t, 1) },
	"twelve-entries":   func(t tree) { setEntryCount(t, 12) },
}

// Deployments returns the sorted names of the deployments.
func Deployments() []string { return slices.Sorted(maps.Keys(deployments)) }

// EditSite applies a deployment to the contents of a site file. It fails if the name is unknown.
func EditSite(text []byte, name string) ([]byte, error) {
	edit, t := deployments[name], tree{}
	seed, derived := derivedSeed(name)
	if edit == nil && !derived {
		return nil, fmt.Errorf("unknown deployment %q; the deployments are %s and %sSEED", name, Deployments(), derivedPrefix)
	}
	if err := toml.Unmarshal(text, &t); err != nil {
		return nil, fmt.Errorf("site file: %w", err)
	}
	if derived {
		changes := derive(t, seed)
		out, err := toml.Marshal(t)
		return append([]byte("# "+name+": "+changes+"\n"), out...), err
	}
	edit(t)
	return toml.Marshal(t)
}

// WriteEdited applies deployments to a site file and writes the result into dir, with the files
// that the bench needs next to it. It returns the path of the new site file.
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
			return "", fmt.Errorf("copying the site file, and wire.json and CUT from its directory: %w", err)
		}
	}
	return filepath.Join(dir, base), nil
}

// walk visits a node and all nodes below it that are tables.
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

// scale multiplies all numbers of these names at or below a node. Integers stay integers and are
// at least 1.
func scale(node any, factor float64, names ...string) {
	walk(node, func(t tree) {
		for _, name := range names {
			switch v := t[name].(type) {
			case int64:
				t[name] = max(1, int64(math.Round(float64(v)*factor)))
			case float64:
				t[name] = v * factor
			}
		}
	})
}

// mergeZones moves everything to the first zone.
func mergeZones(t tree) {
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

// setEntryCount distributes the entries evenly over the machine groups without an app. It removes
// groups without entries, with their spare machines.
func setEntryCount(t tree, count int) {
	var groups []tree
	walk(t["machines"], func(m tree) {
		if m["app"] == nil {
			groups = append(groups, m)
		}
	})
	for i, m := range groups {
		m["count"] = (count + len(groups) - 1 - i) / len(groups)
	}
	all, _ := t["machines"].([]any)
	t["machines"] = slices.DeleteFunc(all, func(m any) bool { return m.(tree)["count"] == 0 })
}
