// Package days writes days and odd deployments for the users' bench, has the
// bench play them and sums up what it printed. What kinds of trouble there are
// is read from the bench at run time; only the form of its texts is known here.
package days

import (
	"errors"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Kind is one kind of trouble as the bench describes it.
type Kind struct {
	Name string
	// Defaults are the values that hold for a field that an entry leaves out.
	Defaults map[string]float64
	// Variants are the variants beside the plain one, each once, none empty.
	Variants []string
}

var (
	kindLine   = regexp.MustCompile(`^([a-z][a-z0-9_]*): (.+)$`)
	spanFigure = regexp.MustCompile(`\b(for_s|gap_s): [^.(]*\((\d*\.?\d+)\)`)
	ownFigure  = regexp.MustCompile(`\b(share|count|x)(?: m?s)? \((\d*\.?\d+)\)`)
	subject    = regexp.MustCompile(`^(?:share|count)\b[^:;]*?\b(servers|machines)\b`)
	generalHow = regexp.MustCompile(`For (servers|machines), 'how' may also hold ([^.]*\.(?: After these may stand [^.]*)?)`)
	specialHow = regexp.MustCompile(`,? for ([a-z_]+), ([a-z_]+)`)
	number     = regexp.MustCompile(`\([\d.]+\)`)
	bracket    = regexp.MustCompile(`\([^()]*\)`)
	// howMark begins variants: `how: a (text), b; c, text` or `how a: text; b: text`.
	howMark = regexp.MustCompile(`\bhow:? `)
	// further is a word in brackets that may follow the variant before them.
	further = regexp.MustCompile(`(?:\+|[;,] with) ([a-z_]+)`)
	// extension is what bare leaves of such brackets.
	extension = regexp.MustCompile(`, \+ [a-z_]+`)
	word      = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	// prose tells a sentence from a list of variants.
	prose = strings.Fields("a also are as at else for from in is it its of on or says that the they these those to which with After may stand")
)

// ParseKinds reads the text that the bench prints of the kinds of a site.
func ParseKinds(text string) (kinds []Kind, err error) {
	head, strikes, last := "", map[string][]int{}, ""
	for line := range strings.Lines(text) {
		m := kindLine.FindStringSubmatch(strings.TrimSpace(line))
		if m == nil {
			head, last = head+line, ""
			continue
		}
		if s := subject.FindStringSubmatch(m[2]); s != nil {
			last = s[1]
		}
		if strings.Contains(m[2], "share (") || subject.MatchString(m[2]) { // else it strikes neither
			strikes[last] = append(strikes[last], len(kinds))
		}
		kinds = append(kinds, Kind{Name: m[1], Defaults: figures(ownFigure, m[2]), Variants: listed(howMark.Split(bare(m[2]), -1)[1:])})
	}
	spans, general := figures(spanFigure, head), generalHow.FindAllStringSubmatch(bare(head), -1)
	if len(kinds) == 0 || spans["for_s"] == 0 {
		return nil, errors.New("kinds: no `for_s: text (seconds)`, or no line of the form `name: text`; give the bench, then a site file")
	}
	for i := range kinds {
		k := &kinds[i]
		for field, v := range spans {
			k.Defaults[field] = v
		}
		for _, m := range general {
			if slices.Contains(strikes[m[1]], i) {
				k.Variants = append(k.Variants, generalWords(k.Name, m[2])...)
			}
		}
		slices.Sort(k.Variants)
		k.Variants = slices.Compact(k.Variants)
	}
	return kinds, nil
}

// figures returns the first value of each field; later ones are of a variant.
func figures(form *regexp.Regexp, text string) map[string]float64 {
	all := map[string]float64{}
	for _, m := range slices.Backward(form.FindAllStringSubmatch(text, -1)) {
		all[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	return all
}

// bare drops what stands in brackets, apart from variants and what extends them.
func bare(text string) string {
	return bracket.ReplaceAllStringFunc(number.ReplaceAllString(text, ""), func(s string) string {
		if m := further.FindStringSubmatch(s); m != nil {
			return ", + " + m[1]
		} else if howMark.MatchString(s) {
			return s
		}
		return ""
	})
}

// listed reads the variants after each mark. A word too many costs a day only,
// as the bench passes over variants that it does not know.
func listed(parts []string) (all []string) {
	for _, part := range parts {
		part, _, _ = strings.Cut(strings.NewReplacer(")", ".", "(", ".").Replace(part), ".")
		for piece := range strings.FieldsFuncSeq(part, func(r rune) bool { return r == ',' || r == ';' }) {
			piece, _, _ = strings.Cut(piece, ":")
			fields := strings.Fields(strings.TrimPrefix(strings.TrimSpace(piece), "and "))
			if len(fields) > 1 && fields[0] == "+" && len(all) > 0 {
				all = append(all, all[len(all)-1]+" "+fields[1])
				fields = fields[2:]
			}
			if !slices.ContainsFunc(fields, func(f string) bool { return slices.Contains(prose, f) || !word.MatchString(f) }) {
				all = append(all, fields...)
			}
		}
	}
	return all
}

// generalWords returns the variants in a sentence on many kinds; `for kind, how`
// holds for that kind alone.
func generalWords(kind, s string) []string {
	s = specialHow.ReplaceAllStringFunc(s, func(m string) string {
		if p := specialHow.FindStringSubmatch(m); p[1] == kind {
			return ", " + p[2]
		}
		return ""
	})
	all := strings.FieldsFunc(extension.ReplaceAllString(s, ""), func(r rune) bool { return strings.ContainsRune(", .", r) })
	return slices.DeleteFunc(all, func(w string) bool { return w == "and" || slices.Contains(prose, w) || !word.MatchString(w) })
}
