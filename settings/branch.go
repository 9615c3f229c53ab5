package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/weldfall/weldfall/common/strict"
)

// Limits of a branch.
const (
	// MaxBranchBytes is the platform's limit on the size of a value.
	MaxBranchBytes = 1 << 20
	// MaxDepth is the depth of a service, below fleet, partner and workspace.
	MaxDepth = 3
	// MaxKeys limits the keys that a branch may set.
	MaxKeys = 4096
	// MaxPathSegment limits the length of a name in a path, in bytes.
	MaxPathSegment = 64
)

// Depth returns the depth of path below the fleet: 0 for "fleet", 1 for a
// partner, 2 for a workspace, 3 for a service.
func Depth(path string) int {
	if path == FleetPath {
		return 0
	}
	return strings.Count(path, "/") + 1
}

// FleetPath is the root of the tree.
const FleetPath = "fleet"

// Ancestors returns the paths whose branches apply to path, from the root to
// path itself.
func Ancestors(path string) []string {
	paths := []string{FleetPath}
	if path == FleetPath {
		return paths
	}
	for i, c := range path {
		if c == '/' {
			paths = append(paths, path[:i])
		}
	}
	return append(paths, path)
}

// CheckPath returns an error unless path is valid for a branch.
func CheckPath(path string) error {
	if Depth(path) > MaxDepth {
		return fmt.Errorf("path %q: deeper than partner/workspace/service", path)
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "" || len(segment) > MaxPathSegment {
			return fmt.Errorf("path %q: each name has 1 to %d bytes", path, MaxPathSegment)
		}
		if strings.ContainsFunc(segment, invalidInName) {
			return fmt.Errorf("path %q: names use a-z, 0-9, '-' and '_'", path)
		}
	}
	return nil
}

func invalidInName(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
}

// Branch is a decoded branch. It is immutable.
type Branch struct {
	path string
	text string
	// keys are the dotted keys that the branch sets, sorted.
	keys []string
	// values has the value of each dotted key as written.
	values map[string]any
	// locks are the keys that branches below may not set.
	locks []string
}

// Path returns the path of the branch in the tree.
func (b *Branch) Path() string { return b.path }

// Sets reports whether the branch sets the dotted key.
func (b *Branch) Sets(key string) bool {
	_, ok := slices.BinarySearch(b.keys, key)
	return ok
}

// ParseBranch decodes the text of the branch at path and checks it apart from all
// other branches. Errors name path, line, column, key and remedy.
func ParseBranch(path, text string) (*Branch, error) {
	if err := CheckPath(path); err != nil {
		return nil, err
	}
	if len(text) > MaxBranchBytes {
		return nil, fmt.Errorf("%s: %d bytes exceed the limit of %d: split the branch", path, len(text), MaxBranchBytes)
	}
	v := Defaults()
	if err := strict.Decode(path, text, &v); err != nil {
		return nil, err
	}
	var raw map[string]any
	if err := toml.Unmarshal([]byte(text), &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	b := &Branch{path: path, text: text, values: map[string]any{}, locks: v.Lock.Keys}
	flatten("", raw, b.values)
	for k := range b.values {
		b.keys = append(b.keys, k)
	}
	slices.Sort(b.keys)
	if len(b.keys) > MaxKeys {
		return nil, fmt.Errorf("%s: %d keys exceed the limit of %d: split the branch", path, len(b.keys), MaxKeys)
	}
	if err := b.checkDepth(); err != nil {
		return nil, err
	}
	return b, checkRanges(path, text, v)
}

// checkDepth returns an error if a key is not allowed at the depth of the branch or if a
// locked key does not exist.
func (b *Branch) checkDepth() error {
	depth := Depth(b.path)
	for _, k := range b.keys {
		switch {
		case k == "access.key_sha256" && depth != 2:
			return strict.LineError(b.path, b.text, k, "belongs to a workspace's branch: move it there")
		case k == "fairness.partner_share" && depth > 1:
			return strict.LineError(b.path, b.text, k, "belongs to the fleet's or a partner's branch: a workspace sets workspace_share")
		case k == "fairness.reserve_ratio" && depth > 0:
			return strict.LineError(b.path, b.text, k, "belongs to the fleet's branch: partners share each engine")
		case k == "lock.keys" && depth > 1:
			return strict.LineError(b.path, b.text, k, "only the fleet's and a partner's branches lock keys: remove it")
		}
	}
	known := KnownKeys()
	for _, k := range b.locks {
		if _, ok := slices.BinarySearch(known, k); !ok {
			return strict.LineError(b.path, b.text, "lock.keys", fmt.Sprintf("names no setting %q%s", k, strict.Suggest(k, known)))
		}
	}
	return nil
}

// flatten adds the values of m to out under their dotted keys.
func flatten(prefix string, m map[string]any, out map[string]any) {
	for k, v := range m {
		key := prefix + k
		if sub, ok := v.(map[string]any); ok {
			flatten(key+".", sub, out)
			continue
		}
		out[key] = v
	}
}
