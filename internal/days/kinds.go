// Package days generates day files and unusual deployments for the users' bench, runs them and
// summarizes the results. It reads the kinds of trouble from the bench at run time, and knows
// only the format of the bench's output.
package days

import (
	"errors"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Kind is a kind of trouble, as described by the bench.
type Kind struct {
	Name string
	// Defaults has the value of each field that an entry may omit.
	Defaults map[string]float64
	// Variants has the values of how, sorted and without the empty one.
	Variants []string
}

var (
	kindLine        = regexp.MustCompile(`^([a-z][a-z0-9_]*): (.+)$`)
	durationDefault = regexp.MustCompile(`\b(for_s|gap_s): [^.(]*\((\d*\.?\d+)\)`)
	kindDefault     = regexp.MustCompile(`\b(share|count|x)(?: m?s)? \((\d*\.?\d+)\)`)
	targetPattern   = regexp.MustCompile(`^(?:share|count)\b[^:;]*?\b(servers|machines)\b`)
	generalVariants = regexp.MustCompile(`For (servers|machines), 'how' may also hold ([^.]*\.(?: After these may stand [^.]*)?)`)
	variantOfKind   = regexp.MustCompile(`,? for ([a-z_]+), ([a-z_]+)`)
	numberNote      = regexp.MustCompile(`\([\d.]+\)`)
	note            = regexp.MustCompile(`\([^()]*\)`)
	// variantsStart precedes variants: `how: a (text), b; c, text` or `how a: text; b: text`.
	variantsStart = regexp.MustCompile(`\bhow:? `)
	// extensionNote matches a parenthesized word that extends the variant before it.
	extensionNote = regexp.MustCompile(`(?:\+|[;,] with) ([a-z_]+)`)
	// extension matches what stripNotes leaves of such a note.
	extension = regexp.MustCompile(`, \+ [a-z_]+`)
	word      = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	// proseWords distinguishes sentences from lists of variants.
	proseWords = strings.Fields("a also are as at else for from in is it its of on or says that the they these those to which with After may stand")
)

// ParseKinds parses the description of the kinds of a site that the bench prints.
func ParseKinds(text string) (kinds []Kind, err error) {
	preamble, kindsByTarget, target := "", map[string][]int{}, ""
	for line := range strings.Lines(text) {
		m := kindLine.FindStringSubmatch(strings.TrimSpace(line))
		if m == nil {
			preamble, target = preamble+line, ""
			continue
		}
		if s := targetPattern.FindStringSubmatch(m[2]); s != nil {
			target = s[1]
		}
		if strings.Contains(m[2], "share (") || targetPattern.MatchString(m[2]) { // other kinds affect neither servers nor machines
			kindsByTarget[target] = append(kindsByTarget[target], len(kinds))
		}
		kinds = append(kinds, Kind{Name: m[1], Defaults: parseDefaults(kindDefault, m[2]), Variants: parseVariants(variantsStart.Split(stripNotes(m[2]), -1)[1:])})
	}
	durations, general := parseDefaults(durationDefault, preamble), generalVariants.FindAllStringSubmatch(stripNotes(preamble), -1)
	if len(kinds) == 0 || durations["for_s"] == 0 {
		return nil, errors.New("kinds: the output has no `for_s: text (seconds)`, or no line of the form `name: text`; pass the bench, then a site file")
	}
	for i := range kinds {
		k := &kinds[i]
		for field, v := range durations {
			k.Defaults[field] = v
		}
		for _, m := range general {
			if slices.Contains(kindsByTarget[m[1]], i) {
				k.Variants = append(k.Variants, parseGeneralVariants(k.Name, m[2])...)
			}
		}
		slices.Sort(k.Variants)
		k.Variants = slices.Compact(k.Variants)
	}
	return kinds, nil
}

// parseDefaults returns the first value of each field. Later values belong to a variant.
func parseDefaults(pattern *regexp.Regexp, text string) map[string]float64 {
	all := map[string]float64{}
	for _, m := range slices.Backward(pattern.FindAllStringSubmatch(text, -1)) {
		all[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	return all
}

// stripNotes removes parenthesized text, except variants and their extensions.
func stripNotes(text string) string {
	return note.ReplaceAllStringFunc(numberNote.ReplaceAllString(text, ""), func(s string) string {
		if m := extensionNote.FindStringSubmatch(s); m != nil {
			return ", + " + m[1]
		} else if variantsStart.MatchString(s) {
			return s
		}
		return ""
	})
}

// parseVariants returns the variants in parts of a text that each follow variantsStart. A wrong
// word costs only a day, because the bench ignores unknown variants.
func parseVariants(parts []string) (all []string) {
	for _, part := range parts {
		part, _, _ = strings.Cut(strings.NewReplacer(")", ".", "(", ".").Replace(part), ".")
		for piece := range strings.FieldsFuncSeq(part, func(r rune) bool { return r == ',' || r == ';' }) {
			piece, _, _ = strings.Cut(piece, ":")
			fields := strings.Fields(strings.TrimPrefix(strings.TrimSpace(piece), "and "))
			if len(fields) > 1 && fields[0] == "+" && len(all) > 0 {
				all = append(all, all[len(all)-1]+" "+fields[1])
				fields = fields[2:]
			}
			if !slices.ContainsFunc(fields, func(f string) bool { return slices.Contains(proseWords, f) || !word.MatchString(f) }) {
				all = append(all, fields...)
			}
		}
	}
	return all
}

// parseGeneralVariants returns the variants of a kind in a sentence about many kinds. The variant
// in `for kind, variant` applies to that kind only.
func parseGeneralVariants(kind, s string) []string {
	s = variantOfKind.ReplaceAllStringFunc(s, func(m string) string {
		if p := variantOfKind.FindStringSubmatch(m); p[1] == kind {
			return ", " + p[2]
		}
		return ""
	})
	all := strings.FieldsFunc(extension.ReplaceAllString(s, ""), func(r rune) bool { return strings.ContainsRune(", .", r) })
	return slices.DeleteFunc(all, func(w string) bool { return w == "and" || slices.Contains(proseWords, w) || !word.MatchString(w) })
}
