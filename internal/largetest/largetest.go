// Package largetest answers with more than a client reads.
package largetest

import (
	"net/http"
	"strconv"
	"strings"
)

// pieceBytes is the size of what is written at once.
const pieceBytes = 1 << 20

// OverLimit answers with one byte more of blanks than a limit in bytes.
func OverLimit(limit int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(limit+1))
		piece := []byte(strings.Repeat(" ", pieceBytes))
		var err error
		for left := limit + 1; left > 0 && err == nil; left -= len(piece) {
			_, err = w.Write(piece[:min(len(piece), left)])
		}
	})
}
