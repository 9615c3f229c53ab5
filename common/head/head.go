// Package head checks the head of an HTTP/1 response strictly, before anything of it is used
// (RFC 9112, sections 2 to 6, and RFC 9110, sections 5, 8.6 and 15). net/http accepts names of
// fields with blanks, folded lines and statuses like 000, and then finds another body than the
// sender meant, or passes them on.
package head

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// MaxBytes is the largest size in bytes of a head, with the informational responses before it.
const MaxBytes = 64 << 10

// maxExcerpt is the largest number of bytes of a head that an Error quotes.
const maxExcerpt = 64

// Reason is why a head is invalid.
type Reason string

const (
	// BadVersion means that the first line does not begin with "HTTP/1.", a digit and a blank.
	BadVersion Reason = "version"
	// BadStatus means that no status from 100 to 599 follows, or one that nobody asked for.
	BadStatus Reason = "status"
	// BadPhrase means that the status is followed by something that is no reason phrase.
	BadPhrase Reason = "reason_phrase"
	// BadName means that a line does not begin with the name of a field and a colon.
	BadName Reason = "field_name"
	// BadValue means that the value of a field has a control byte.
	BadValue Reason = "field_value"
	// Folded means that a line begins with a blank.
	Folded Reason = "folded_line"
	// BadLength means that a Content-Length is no number, or differs from another one.
	BadLength Reason = "content_length"
	// BadCoding means that a Transfer-Encoding is not "chunked" alone, or must not be there.
	BadCoding Reason = "transfer_encoding"
	// TooLong means that the head exceeds MaxBytes.
	TooLong Reason = "size"
)

// Error says why and where a head is invalid. Its text quotes nothing of the head.
type Error struct {
	reason       Reason
	line, column int
	excerpt      []byte
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("invalid head of a response (%s) in line %d, byte %d", e.reason, e.line, e.column)
}

// Reason returns why the head is invalid.
func (e *Error) Reason() Reason { return e.reason }

// Line and Column return the place at which the head is invalid. Both count from 1, and
// informational responses count as part of the head.
func (e *Error) Line() int { return e.line }

// Column returns the position in Line in bytes.
func (e *Error) Column() int { return e.column }

// Excerpt returns the beginning of the line as printable ASCII.
func (e *Error) Excerpt() string { return strings.Trim(strconv.QuoteToASCII(string(e.excerpt)), `"`) }

// Scanner checks the head of a response as its bytes arrive. The zero value is ready for use.
type Scanner struct {
	// line is the line so far, without its end. lines counts those before it.
	line  []byte
	lines int
	size  int
	// status is the status of the current response, zero before its first line.
	status   int
	http10   bool
	length   string
	chunked  bool
	complete bool
	err      *Error
}

// Reset prepares the scanner for another head. It keeps its buffer.
func (s *Scanner) Reset() { *s = Scanner{line: s.line[:0]} }

// Complete reports whether the scanner has seen a whole head.
func (s *Scanner) Complete() bool { return s.complete }

// Scan checks the next bytes up to the end of the head. The error, which is an *Error, is the same
// in each later call.
func (s *Scanner) Scan(p []byte) error {
	for len(p) > 0 && !s.complete && s.err == nil {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, part...)
		s.size += len(p) - len(rest)
		if s.size > MaxBytes {
			s.fail(TooLong, 0)
			break
		}
		if p = rest; !ended {
			break
		}
		s.checkLine(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		s.lines++
	}
	return s.Err()
}

// Err returns the error of the head so far, which is an *Error, or nil.
func (s *Scanner) Err() error {
	if s.err == nil {
		return nil
	}
	return s.err
}

func (s *Scanner) fail(reason Reason, column int) {
	if s.err == nil {
		s.err = &Error{reason: reason, line: s.lines + 1, column: column + 1, excerpt: bytes.Clone(s.line[:min(len(s.line), maxExcerpt)])}
	}
}

func (s *Scanner) checkLine(line []byte) {
	switch {
	case s.status == 0:
		s.checkStatusLine(line)
	case len(line) > 0:
		s.checkField(line)
	case isInformational(s.status):
		s.status, s.http10, s.length, s.chunked = 0, false, "", false
	default:
		s.complete = true
	}
}

func isInformational(status int) bool { return status < 200 }

// switchingProtocols is the status of a response to an Upgrade, which is never asked for.
const switchingProtocols = 101

// versionPrefix is followed by the minor version. A higher one than is known is processed like the
// highest known one (RFC 9110, section 2.5).
const versionPrefix = "HTTP/1."

// checkStatusLine checks the version, the status and the reason phrase. The blank behind the
// status may be missing if there is no phrase.
func (s *Scanner) checkStatusLine(line []byte) {
	const statusAt, phraseAt = len(versionPrefix) + 2, len(versionPrefix) + 5
	if !bytes.HasPrefix(line, []byte(versionPrefix)) || len(line) < statusAt || !isDigit(line[statusAt-2]) || line[statusAt-1] != ' ' {
		s.fail(BadVersion, 0)
		return
	}
	if len(line) < phraseAt || !allDigits(line[statusAt:phraseAt]) {
		s.fail(BadStatus, statusAt)
		return
	}
	s.http10 = line[statusAt-2] == '0'
	s.status = int(line[statusAt]-'0')*100 + int(line[statusAt+1]-'0')*10 + int(line[statusAt+2]-'0')
	if s.status < 100 || s.status > 599 || s.status == switchingProtocols {
		s.fail(BadStatus, statusAt)
		return
	}
	if phrase := line[phraseAt:]; len(phrase) > 0 && phrase[0] != ' ' {
		s.fail(BadStatus, phraseAt)
	} else if i := bytes.IndexFunc(phrase, isControl); i >= 0 {
		s.fail(BadPhrase, phraseAt+i)
	}
}

// checkField checks the line of a field.
func (s *Scanner) checkField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.fail(Folded, 0)
		return
	}
	nameEnd := 0
	for nameEnd < len(line) && isToken[line[nameEnd]] {
		nameEnd++
	}
	if nameEnd == 0 || nameEnd == len(line) || line[nameEnd] != ':' {
		s.fail(BadName, min(nameEnd, len(line)-1))
		return
	}
	name, value := line[:nameEnd], bytes.Trim(line[nameEnd+1:], " \t")
	if i := bytes.IndexFunc(line[nameEnd+1:], isControl); i >= 0 {
		s.fail(BadValue, nameEnd+1+i)
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.checkLength(string(value), nameEnd+1)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		// A response of HTTP/1.0 has no codings (RFC 9112, section 6.1).
		if s.chunked || s.http10 || !bytes.EqualFold(value, []byte("chunked")) {
			s.fail(BadCoding, nameEnd+1)
			return
		}
		s.chunked = true
	}
}

// maxLengthDigits is the number of digits of the largest int64, less one.
const maxLengthDigits = 18

// checkLength checks a Content-Length, which a coding overrides (RFC 9112, section 6.3).
func (s *Scanner) checkLength(value string, column int) {
	switch {
	case value == "" || len(value) > maxLengthDigits || !allDigits([]byte(value)), s.length != "" && s.length != value:
		s.fail(BadLength, column)
	}
	s.length = value
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func allDigits(b []byte) bool {
	for _, c := range b {
		if !isDigit(c) {
			return false
		}
	}
	return true
}

// isControl reports whether a rune is a control byte that may be in no line. Bytes above 0x7f may
// be in values; they decode to runes that are none.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken has the bytes of which names of fields consist (RFC 9110, section 5.6.2).
var isToken = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()
