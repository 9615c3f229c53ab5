package head_test

import (
	"errors"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/head"
)

const okLine = "HTTP/1.1 200 OK\r\n"

// cases are heads with the reason for which they are invalid, "" for valid ones.
var cases = []struct {
	name, head string
	reason     head.Reason
}{
	{"length", okLine + "Content-Length: 3\r\n\r\n", ""},
	{"length twice", okLine + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", ""},
	{"chunked", okLine + "Transfer-Encoding: chunked\r\n\r\n", ""},
	{"length and coding", okLine + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	{"coding and length", okLine + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", ""},
	{"chunked in capitals", okLine + "TRANSFER-ENCODING: Chunked\r\n\r\n", ""},
	{"no fields", okLine + "\r\n", ""},
	{"bare LF", "HTTP/1.1 200 OK\nA: b\n\n", ""},
	{"no phrase", "HTTP/1.1 200\r\n\r\n", ""},
	{"empty phrase", "HTTP/1.1 200 \r\n\r\n", ""},
	{"phrase with a high byte", "HTTP/1.1 200 \xe9t\xe9\r\n\r\n", ""},
	{"later minor version", "HTTP/1.9 200 OK\r\n\r\n", ""},
	{"HTTP/1.0", "HTTP/1.0 404 Not Found\r\nA: b\r\n\r\n", ""},
	{"informational", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + okLine + "\r\n", ""},
	{"empty value", okLine + "A:\r\nB: \r\n\r\n", ""},
	{"value with a tab and a high byte", okLine + "A: b\tc\xff\r\n\r\n", ""},
	{"all token bytes", okLine + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n", ""},

	{"major version", "HTTP/2.0 200 OK\r\n\r\n", head.BadVersion},
	{"version of two digits", "HTTP/1.11 200 OK\r\n\r\n", head.BadVersion},
	{"no version", "200 OK\r\n\r\n", head.BadVersion},
	{"version in small letters", "http/1.1 200 OK\r\n\r\n", head.BadVersion},
	{"empty first line", "\r\nHTTP/1.1 200 OK\r\n\r\n", head.BadVersion},
	{"blank before the version", " HTTP/1.1 200 OK\r\n\r\n", head.BadVersion},
	{"tab behind the version", "HTTP/1.1\t200 OK\r\n\r\n", head.BadVersion},
	{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", head.BadStatus},
	{"status 000", "HTTP/1.1 000 OK\r\n\r\n", head.BadStatus},
	{"status 099", "HTTP/1.1 099 OK\r\n\r\n", head.BadStatus},
	{"status 600", "HTTP/1.1 600 OK\r\n\r\n", head.BadStatus},
	{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n", head.BadStatus},
	{"status of two digits", "HTTP/1.1 20 OK\r\n\r\n", head.BadStatus},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", head.BadStatus},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\n", head.BadStatus},
	{"control byte in the phrase", "HTTP/1.1 200 O\x00K\r\n\r\n", head.BadPhrase},
	{"CR in the phrase", "HTTP/1.1 200 O\rK\r\n\r\n", head.BadPhrase},
	{"blank in a name", okLine + "X Trace: a\r\n\r\n", head.BadName},
	{"blank behind a name", okLine + "Content-Length : 3\r\n\r\n", head.BadName},
	{"tab behind a name", okLine + "Transfer-Encoding\t: chunked\r\n\r\n", head.BadName},
	{"control byte in a name", okLine + "X\x01: a\r\n\r\n", head.BadName},
	{"NUL in a name", okLine + "X\x00: a\r\n\r\n", head.BadName},
	{"DEL in a name", okLine + "X\x7f: a\r\n\r\n", head.BadName},
	{"high byte in a name", okLine + "X\xe9: a\r\n\r\n", head.BadName},
	{"brackets in a name", okLine + "X(a): a\r\n\r\n", head.BadName},
	{"no name", okLine + ": a\r\n\r\n", head.BadName},
	{"no colon", okLine + "X\r\n\r\n", head.BadName},
	{"control byte in a value", okLine + "X: a\x02\r\n\r\n", head.BadValue},
	{"CR in a value", okLine + "X: a\rb\r\n\r\n", head.BadValue},
	{"DEL in a value", okLine + "X: \x7f\r\n\r\n", head.BadValue},
	{"folded line", okLine + "X: a\r\n b\r\n\r\n", head.Folded},
	{"first line folded", okLine + "\tb: c\r\n\r\n", head.Folded},
	{"line of blanks", okLine + " \r\n\r\n", head.Folded},
	{"lengths that differ", okLine + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", head.BadLength},
	{"list of lengths", okLine + "Content-Length: 3, 3\r\n\r\n", head.BadLength},
	{"length with a sign", okLine + "Content-Length: +3\r\n\r\n", head.BadLength},
	{"negative length", okLine + "Content-Length: -3\r\n\r\n", head.BadLength},
	{"no length", okLine + "Content-Length: \r\n\r\n", head.BadLength},
	{"length of 19 digits", okLine + "Content-Length: 1234567890123456789\r\n\r\n", head.BadLength},
	{"unknown coding", okLine + "Transfer-Encoding: gzip, chunked\r\n\r\n", head.BadCoding},
	{"coding identity", okLine + "Transfer-Encoding: identity\r\n\r\n", head.BadCoding},
	{"coding twice", okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", head.BadCoding},
	{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", head.BadCoding},
	{"behind an informational one", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", head.BadStatus},
	{"in an informational one", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + okLine + "\r\n", head.BadName},
	{"size", okLine + "X: " + strings.Repeat("x", head.MaxBytes) + "\r\n\r\n", head.TooLong},
	{"size of many fields", okLine + strings.Repeat("X: x\r\n", head.MaxBytes/6) + "\r\n", head.TooLong},
	{"size of a line without end", okLine + strings.Repeat("x", head.MaxBytes), head.TooLong},
}

// reasonOf returns the reason for which a head is invalid, read n bytes at a time.
func reasonOf(t *testing.T, text string, n int) (head.Reason, *head.Error) {
	t.Helper()
	var s head.Scanner
	for from := 0; from < len(text); from += n {
		err := s.Scan([]byte(text[from:min(from+n, len(text))]))
		var e *head.Error
		switch {
		case errors.As(err, &e):
			if s.Complete() {
				t.Errorf("got a complete head and %v", err)
			}
			return e.Reason(), e
		case err != nil:
			t.Fatalf("got %T, want *head.Error", err)
		}
	}
	if !s.Complete() {
		t.Errorf("got no error and no complete head in %q", text[:min(100, len(text))])
	}
	return "", nil
}

func TestScan(t *testing.T) {
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, n := range []int{1, 7, len(tc.head)} {
				if got, _ := reasonOf(t, tc.head, n); got != tc.reason {
					t.Errorf("%d bytes at a time: got %q, want %q", n, got, tc.reason)
				}
			}
		})
	}
}

// What follows a head is not checked.
func TestScanEndsWithTheHead(t *testing.T) {
	var s head.Scanner
	if err := s.Scan([]byte(okLine + "\r\n\x00 no head\n\n")); err != nil || !s.Complete() {
		t.Errorf("got %v, complete %t, want a complete head", err, s.Complete())
	}
	s.Reset()
	if s.Complete() {
		t.Error("got a complete head after a reset, want none")
	}
}

// Callers must get nothing of the bytes, and logs few of them, as printable ones.
func TestErrorTellsThePlace(t *testing.T) {
	_, err := reasonOf(t, okLine+"A: b\r\nX\x00\xff"+strings.Repeat("secret", 50)+": c\r\n\r\n", 5)
	if err.Line() != 3 || err.Column() != 2 {
		t.Errorf("got line %d, column %d, want 3 and 2", err.Line(), err.Column())
	}
	if got, want := err.Error(), "invalid head of a response (field_name) in line 3, byte 2"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	got := err.Excerpt()
	if !strings.HasPrefix(got, `X\x00\xffsecret`) || len(got) > 64*4 || strings.Count(got, "secret") != 10 {
		t.Errorf("got excerpt %q, want 64 bytes of the line", got)
	}
}

// grammar is the grammar of a valid head but for what depends on several fields, by RFC 9112 and
// RFC 9110. (?s:.) matches a byte since the text is decoded as Latin-1.
var grammar = regexp.MustCompile(`^(HTTP/1\.[0-9] 1(0[02-9]|[1-9][0-9])( [\t \x21-\x7e\x{80}-\x{ff}]*)?\r?\n` + fields + `\r?\n)*` +
	`HTTP/1\.[0-9] [2-5][0-9][0-9]( [\t \x21-\x7e\x{80}-\x{ff}]*)?\r?\n` + fields + `\r?\n`)

const fields = "([!#$%&'*+\\-.^_`|~0-9a-zA-Z]+:[\\t \\x21-\\x7e\\x{80}-\\x{ff}]*\\r?\\n)*"

var framingField = regexp.MustCompile(`(?im)^(content-length|transfer-encoding):[ \t]*(.*?)[ \t]*\r?$`)

// isValid is an oracle: it reports whether text begins with a valid head.
func isValid(text string) bool {
	var latin1 strings.Builder
	for _, b := range []byte(text) {
		latin1.WriteRune(rune(b))
	}
	found := grammar.FindString(latin1.String())
	if found == "" {
		return false
	}
	for _, one := range regexp.MustCompile(`\n\r?\n`).Split(found, -1) {
		lengths, codings := map[string]bool{}, 0
		for _, m := range framingField.FindAllStringSubmatch(one, -1) {
			if strings.EqualFold(m[1], "content-length") {
				lengths[m[2]] = true
				if !regexp.MustCompile(`^[0-9]{1,18}$`).MatchString(m[2]) {
					return false
				}
				continue
			}
			codings++
			if !strings.EqualFold(m[2], "chunked") || strings.HasPrefix(one, "HTTP/1.0") {
				return false
			}
		}
		if len(lengths) > 1 || codings > 1 {
			return false
		}
	}
	return true
}

// Heads that differ from the cases in some bytes, the same in each run.
func TestScanAgreesWithTheGrammar(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	const odd = "\x00\x01\t\n\r :;,()\x7f\x80\xff0129ABZaz-_/.+"
	valid := 0
	for range 100_000 {
		text := []byte(cases[rng.IntN(len(cases))].head)
		if len(text) > 1000 {
			continue
		}
		for range rng.IntN(4) {
			i := rng.IntN(len(text))
			switch c := odd[rng.IntN(len(odd))]; rng.IntN(3) {
			case 0:
				text[i] = c
			case 1:
				text = slices.Insert(text, i, c)
			case 2:
				if text = slices.Delete(text, i, i+1); len(text) == 0 {
					text = []byte{c}
				}
			}
		}
		var s head.Scanner
		err := s.Scan(text)
		got, want := err == nil && s.Complete(), isValid(string(text))
		if got != want {
			t.Errorf("got %t by %v, want %t of %q", got, err, want, text)
		}
		if want {
			valid++
		}
	}
	t.Logf("%d heads are valid", valid)
}

// The scanner accepts the heads that the grammar allows, and no others.
func FuzzScan(f *testing.F) {
	for _, tc := range cases {
		if len(tc.head) < 1000 {
			f.Add(tc.head)
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) > 2000 {
			// The oracle is slow.
			return
		}
		var s head.Scanner
		err := s.Scan([]byte(text))
		if got, want := err == nil && s.Complete(), isValid(text); got != want {
			t.Errorf("got %t by %v, want %t of %q", got, err, want, text)
		}
		var apart head.Scanner
		for i := range len(text) {
			if e := apart.Scan([]byte(text[i : i+1])); e != nil {
				if err == nil || e.Error() != err.Error() {
					t.Errorf("got %v byte by byte, want %v", e, err)
				}
				return
			}
		}
		if err != nil {
			t.Errorf("got no error byte by byte, want %v", err)
		}
	})
}
