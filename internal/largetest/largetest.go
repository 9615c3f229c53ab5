// Package largetest provides HTTP responses that are larger than a client accepts.
package largetest

import (
	"net/http"
	"strconv"
	"strings"
)

// chunkBytes is the size of one write.
const chunkBytes = 1 << 20

// OverLimit returns a handler whose response body is one byte longer than a limit in bytes.
func OverLimit(limit int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(limit+1))
		chunk := []byte(strings.Repeat(" ", chunkBytes))
		var err error
		for remaining := limit + 1; remaining > 0 && err == nil; remaining -= len(chunk) {
			_, err = w.Write(chunk[:min(len(chunk), remaining)])
		}
	})
}
