package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/weldfall/weldfall/common/strict"
)

// entry is what the tree holds of one path.
type entry struct {
	// rev is the revision of the latest value seen, valid or not. It never
	// goes down.
	rev int64
	// good is the last valid branch, nil if there was none.
	good    *Branch
	goodRev int64
	// err says why the latest value is not in force; nil if it is.
	err error
	// change counts the changes of what is in force; it never goes down.
	change int64
}

// maxLevels is the number of branches that can apply to a path.
const maxLevels = MaxDepth + 1

// cached is the effective values of a path with the changes that they are
// based on, one for each branch above it and its own.
type cached struct {
	values  Values
	changes [maxLevels]int64
}

// Tree is the settings as one process knows them. It is not safe for
// concurrent use.
type Tree struct {
	entries map[string]*entry
	// resolved caches effective values; one is used only while the branches
	// that it was made of have not changed.
	resolved map[string]cached
}

// NewTree returns a tree in which only the defaults are in force.
func NewTree() *Tree {
	return &Tree{entries: map[string]*entry{}, resolved: map[string]cached{}}
}

// ApplyResult says what became of a value.
type ApplyResult string

const (
	// InForce means that the value is now in force.
	InForce ApplyResult = "in_force"
	// Older means that a newer value is known; nothing changed.
	Older ApplyResult = "older"
	// Invalid means that the last good value stays in force.
	Invalid ApplyResult = "invalid"
)

// Apply takes the text of a branch with the platform's revision. Values that
// are not newer than the known one change nothing. On Invalid the error says
// why, and the last good value stays in force.
func (t *Tree) Apply(path, text string, rev int64) (ApplyResult, error) {
	e := t.entries[path]
	if e == nil {
		e = &entry{}
	}
	if rev <= e.rev {
		return Older, nil
	}
	b, err := ParseBranch(path, text)
	e.rev, e.err = rev, err
	t.entries[path] = e
	if err != nil {
		return Invalid, err
	}
	e.good, e.goodRev = b, rev
	e.change++
	return InForce, nil
}

// ApplyLastGood takes the last valid value of a branch whose newer value is not
// valid, as a peer remembers it. The newest valid one known stays in force.
func (t *Tree) ApplyLastGood(path, text string, rev int64) error {
	e := t.entries[path]
	if e == nil {
		e = &entry{}
	}
	if rev <= e.goodRev {
		return nil
	}
	b, err := ParseBranch(path, text)
	if err != nil {
		return err
	}
	e.good, e.goodRev = b, rev
	e.change++
	t.entries[path] = e
	return nil
}

// Remove takes the deletion of a branch at revision rev.
func (t *Tree) Remove(path string, rev int64) ApplyResult {
	e := t.entries[path]
	if e == nil {
		e = &entry{}
		t.entries[path] = e
	}
	if rev <= e.rev {
		return Older
	}
	*e = entry{rev: rev, change: e.change + 1}
	return InForce
}

// changes returns the state of the branches that apply to a path.
func (t *Tree) changes(ancestors []string) (out [maxLevels]int64) {
	for i, p := range ancestors {
		if e := t.entries[p]; e != nil {
			out[i] = e.change
		}
	}
	return out
}

// LockedKey returns an error if the branch in force at path sets a key that is
// locked above it. Such a key has no effect, whichever of the two branches
// came first, so that all processes agree; the rest of the branch is in force.
func (t *Tree) LockedKey(path string) error {
	e := t.entries[path]
	if e == nil || e.good == nil {
		return nil
	}
	return t.checkLocks(e.good)
}

func (t *Tree) checkLocks(b *Branch) error {
	for _, above := range Ancestors(b.path) {
		e := t.entries[above]
		if above == b.path || e == nil || e.good == nil {
			continue
		}
		for _, k := range e.good.locks {
			if b.Sets(k) {
				return strict.LineError(b.path, b.text, k, fmt.Sprintf("is locked by %q: remove it or ask the owner of that branch", above))
			}
		}
	}
	return nil
}

// Effective returns the values in force at path. A path without a branch of
// its own has what it inherits.
func (t *Tree) Effective(path string) Values {
	ancestors := Ancestors(path)
	if len(ancestors) > maxLevels {
		return Defaults()
	}
	changes := t.changes(ancestors)
	if c, ok := t.resolved[path]; ok && c.changes == changes {
		return c.values
	}
	v := Defaults()
	locked := map[string]bool{}
	for _, p := range ancestors {
		e := t.entries[p]
		if e == nil || e.good == nil {
			continue
		}
		overlay(&v, e.good, locked)
		for _, k := range e.good.locks {
			locked[k] = true
		}
	}
	t.resolved[path] = cached{v, changes}
	return v
}

// overlay sets in v what b names, but for locked keys: a lock that came after
// the branch wins over it.
func overlay(v *Values, b *Branch, locked map[string]bool) {
	before := *v
	before.Models = maps.Clone(v.Models)
	v.Models = maps.Clone(v.Models)
	clash := slices.ContainsFunc(b.keys, func(k string) bool { return locked[k] })
	text := b.text
	if clash {
		text = withoutLocked(b, locked)
	}
	if err := toml.Unmarshal([]byte(text), v); err != nil {
		*v = before
	}
}

func withoutLocked(b *Branch, locked map[string]bool) string {
	kept := map[string]any{}
	for k, val := range b.values {
		if locked[k] {
			continue
		}
		m := kept
		parts := strings.Split(k, ".")
		for _, p := range parts[:len(parts)-1] {
			sub, ok := m[p].(map[string]any)
			if !ok {
				sub = map[string]any{}
				m[p] = sub
			}
			m = sub
		}
		m[parts[len(parts)-1]] = val
	}
	out, err := toml.Marshal(kept)
	if err != nil {
		return ""
	}
	return string(out)
}

// Source is where an effective value comes from.
type Source struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	// Path is the branch that set the value, or "default".
	Path string `json:"path"`
	// Revision is that branch's, zero for a default.
	Revision int64 `json:"revision"`
}

// Explain returns the effective value of each known key at path and the
// branch that set it; key narrows the answer to one if it is not empty.
func (t *Tree) Explain(path, key string) ([]Source, error) {
	if err := CheckPath(path); err != nil {
		return nil, err
	}
	known := KnownKeys()
	if key != "" {
		if _, ok := slices.BinarySearch(known, key); !ok {
			return nil, fmt.Errorf("key %q: unknown setting%s", key, strict.Suggest(key, known))
		}
		known = []string{key}
	}
	text, err := toml.Marshal(t.Effective(path))
	if err != nil {
		return nil, fmt.Errorf("explain %s: %w", path, err)
	}
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("explain %s: %w", path, err)
	}
	flat := map[string]any{}
	flatten("", raw, flat)
	if m, ok := raw["models"]; ok {
		flat["models"] = m
	}
	var out []Source
	for _, k := range known {
		out = append(out, t.source(path, k, flat[k]))
	}
	return out, nil
}

func (t *Tree) source(path, key string, value any) Source {
	s := Source{Key: key, Value: value, Path: "default"}
	for _, p := range Ancestors(path) {
		e := t.entries[p]
		if e == nil || e.good == nil {
			continue
		}
		named := slices.ContainsFunc(e.good.keys, func(k string) bool {
			return k == key || strings.HasPrefix(k, key+".")
		})
		if named {
			s.Path, s.Revision = p, e.goodRev
		}
		if slices.Contains(e.good.locks, key) {
			break
		}
	}
	return s
}

// Problem is a branch whose latest value is not, or not wholly, in force.
type Problem struct {
	Path     string `json:"path"`
	Revision int64  `json:"revision"`
	InForce  int64  `json:"in_force_revision"`
	Error    string `json:"error"`
}

// Problems lists the branches whose latest value is not in force, by path.
func (t *Tree) Problems() []Problem {
	var out []Problem
	for path, e := range t.entries {
		err := e.err
		if err == nil {
			err = t.LockedKey(path)
		}
		if err != nil {
			out = append(out, Problem{path, e.rev, e.goodRev, err.Error()})
		}
	}
	slices.SortFunc(out, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// LastGood returns the text and revision of the value in force at path.
func (t *Tree) LastGood(path string) (text string, rev int64, ok bool) {
	e := t.entries[path]
	if e == nil || e.good == nil {
		return "", 0, false
	}
	return e.good.text, e.goodRev, true
}

// Seen reports whether a value for path was seen, valid or not.
func (t *Tree) Seen(path string) bool { return t.entries[path] != nil }

// Paths lists the branches that have a value in force, sorted.
func (t *Tree) Paths() []string {
	var out []string
	for p, e := range t.entries {
		if e.good != nil {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// ErrInvalidKey is returned for a bearer key that names no workspace or is wrong.
var ErrInvalidKey = errors.New("unknown bearer key: ask the owner of the workspace for one")

// WorkspaceOfKey returns the path in a bearer key of the form
// partner.workspace.secret, without checking the secret.
func WorkspaceOfKey(key string) (string, error) {
	parts := strings.SplitN(key, ".", 3)
	if len(parts) != 3 || parts[2] == "" {
		return "", ErrInvalidKey
	}
	path := parts[0] + "/" + parts[1]
	if CheckPath(path) != nil {
		return "", ErrInvalidKey
	}
	return path, nil
}

// Authenticate returns the workspace of a bearer key.
func (t *Tree) Authenticate(key string) (string, error) {
	path, err := WorkspaceOfKey(key)
	if err != nil {
		return "", err
	}
	got := []byte(HashKey(key))
	for _, want := range t.Effective(path).Access.KeySHA256 {
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(want))) == 1 {
			return path, nil
		}
	}
	return "", ErrInvalidKey
}

// HashKey returns the hex SHA-256 of a bearer key, as branches hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
