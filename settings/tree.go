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

// entry is the state of one path.
type entry struct {
	// rev is the revision of the latest value seen, valid or not. It never
	// decreases.
	rev int64
	// good is the last valid branch, nil if there was none, and goodRev its revision.
	good    *Branch
	goodRev int64
	// err is the reason why the latest value is not in force; nil if it is.
	err error
	// changes counts the changes of the branch in force. It never decreases.
	changes int64
}

// maxLevels is the number of branches that can apply to a path.
const maxLevels = MaxDepth + 1

// resolution has the effective values of a path and the change counters that they are
// based on, one for each of its ancestors and itself.
type resolution struct {
	values  Values
	changes [maxLevels]int64
}

// Tree holds the settings that one process knows. It is not safe for
// concurrent use.
type Tree struct {
	entries map[string]*entry
	// resolved caches effective values. An item is valid only while none of its
	// branches has changed.
	resolved map[string]resolution
}

// NewTree returns a tree in which only the defaults are in force.
func NewTree() *Tree {
	return &Tree{entries: map[string]*entry{}, resolved: map[string]resolution{}}
}

// ApplyResult is the outcome of applying a value.
type ApplyResult string

const (
	// InForce means that the value is now in force.
	InForce ApplyResult = "in_force"
	// Older means that this or a newer revision is known; nothing changed.
	Older ApplyResult = "older"
	// Invalid means that the value is not valid; the last good one stays in force.
	Invalid ApplyResult = "invalid"
)

// Apply sets the text of the branch at path at the platform's revision. A revision
// that is not newer than the known one changes nothing. The error is non-nil if the
// result is Invalid, and the last good value then stays in force.
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
	e.changes++
	return InForce, nil
}

// ApplyLastGood sets the last valid value of a branch, as a peer remembers it, if the
// branch has a newer, invalid value. It changes nothing unless rev is newer than that of
// the branch in force, and returns an error if text is invalid.
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
	e.changes++
	t.entries[path] = e
	return nil
}

// Remove deletes a branch at revision rev, unless that is not newer than the known one.
func (t *Tree) Remove(path string, rev int64) ApplyResult {
	e := t.entries[path]
	if e == nil {
		e = &entry{}
		t.entries[path] = e
	}
	if rev <= e.rev {
		return Older
	}
	*e = entry{rev: rev, changes: e.changes + 1}
	return InForce
}

// changesOf returns the change counters of the given branches.
func (t *Tree) changesOf(ancestors []string) (out [maxLevels]int64) {
	for i, p := range ancestors {
		if e := t.entries[p]; e != nil {
			out[i] = e.changes
		}
	}
	return out
}

// LockedKey returns an error if the branch in force at path sets a key that an
// ancestor locks. Such a key has no effect, whichever of the two branches was
// applied first, so that all processes agree; the rest of the branch is in force.
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

// Effective returns the values in force at path. A path without its own branch
// inherits all values.
func (t *Tree) Effective(path string) Values {
	ancestors := Ancestors(path)
	if len(ancestors) > maxLevels {
		return Defaults()
	}
	changes := t.changesOf(ancestors)
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
	t.resolved[path] = resolution{v, changes}
	return v
}

// overlay sets the keys of b in v, except locked ones: a lock also applies to a branch
// that was published before it.
func overlay(v *Values, b *Branch, locked map[string]bool) {
	before := *v
	before.Models = maps.Clone(v.Models)
	v.Models = maps.Clone(v.Models)
	setsLocked := slices.ContainsFunc(b.keys, func(k string) bool { return locked[k] })
	text := b.text
	if setsLocked {
		text = withoutLocked(b, locked)
	}
	if err := toml.Unmarshal([]byte(text), v); err != nil {
		*v = before
	}
}

// withoutLocked returns the text of b without the locked keys.
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

// Source is an effective value and its origin.
type Source struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
	// Path is the branch that set the value, or "default".
	Path string `json:"path"`
	// Revision is the revision of that branch, zero for a default.
	Revision int64 `json:"revision"`
}

// Explain returns the effective value of each known key at path and the
// branch that set it, or only those of key if it is not empty. It fails if path or key
// is invalid.
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

// Problem is a branch whose latest value is not, or not completely, in force.
type Problem struct {
	Path     string `json:"path"`
	Revision int64  `json:"revision"`
	InForce  int64  `json:"in_force_revision"`
	Error    string `json:"error"`
}

// Problems lists the branches whose latest value is not completely in force, sorted by path.
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

// ErrInvalidKey is returned for a bearer key that has no workspace or is wrong.
var ErrInvalidKey = errors.New("unknown bearer key: ask the owner of the workspace for one")

// WorkspaceOfKey returns the workspace path in a bearer key of the form
// partner.workspace.secret, without checking the secret. It fails with ErrInvalidKey.
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

// Authenticate returns the workspace path of a bearer key, ErrInvalidKey if the key is wrong.
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

// HashKey returns the hex SHA-256 of a bearer key, as in branches.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
