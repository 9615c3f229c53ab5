// Package strict decodes TOML. Its errors name file, line, column and key of a
// mistake and how to correct it.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
)

// Decode decodes text into the struct that v points to. It fails on unknown keys.
func Decode(path, text string, v any) error {
	d := toml.NewDecoder(bytes.NewReader([]byte(text)))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, col := first.Position()
		key := strings.Join(first.Key(), ".")
		return fmt.Errorf("%s:%d:%d: key %q: unknown setting%s", path, row, col, key, Suggest(key, withSections(KeysOf(v))))
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		return fmt.Errorf("%s:%d:%d: key %q: %s", path, row, col, strings.Join(dec.Key(), "."), remedy(dec.Error()))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// remedy returns a decoder message with a hint for its correction.
func remedy(msg string) string {
	return strings.TrimPrefix(msg, "toml: ") + ": write the type that the reference gives"
}

// Suggest returns the end of an error about an unknown key: the nearest known key or, if
// none is near, where to find all keys.
func Suggest(key string, known []string) string {
	best, dist := "", 5
	for _, k := range known {
		if d := levenshtein.ComputeDistance(key, k); d < dist {
			best, dist = k, d
		}
	}
	if best == "" {
		return ": docs/SETTINGS.md and docs/OPERATORS.md list all keys"
	}
	return fmt.Sprintf(": did you mean %q?", best)
}

// LineError returns an error with path, line and key of a problem in text.
func LineError(path, text, key, problem string) error {
	return fmt.Errorf("%s:%d: key %q: %s", path, lineOf(text, key), key, problem)
}

// lineOf returns the number of the line that sets a dotted key, 1 if there is none.
func lineOf(text, key string) int {
	section, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		section, name = key[:i], key[i+1:]
	}
	current, n := "", 0
	for line := range strings.SplitSeq(text, "\n") {
		n++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[] ")
			continue
		}
		left, _, ok := strings.Cut(line, "=")
		left = strings.TrimSpace(left)
		if ok && (left == key || (current == section && left == name)) {
			return n
		}
	}
	return 1
}

// withSections returns keys and the names of the tables that they are in.
func withSections(keys []string) []string {
	out := slices.Clone(keys)
	for _, k := range keys {
		if i := strings.LastIndex(k, "."); i >= 0 {
			out = append(out, k[:i])
		}
	}
	return out
}

// KeysOf returns the dotted TOML keys of the struct that v points to, sorted.
func KeysOf(v any) []string {
	var keys []string
	collectKeys("", reflect.TypeOf(v).Elem(), &keys)
	slices.Sort(keys)
	return keys
}

func collectKeys(prefix string, t reflect.Type, keys *[]string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			collectKeys(prefix+name+".", f.Type, keys)
			continue
		}
		*keys = append(*keys, prefix+name)
	}
}
