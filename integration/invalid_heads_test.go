package integration_test

import (
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/internal/fleettest"
)

// Guards against responses of targets with an invalid head that reach callers, or end their
// connections without a response: a status of 000, or a blank in the name of a field.
func TestResponseWithAnInvalidHeadIsNotPassedOn(t *testing.T) {
	const length = "Content-Length: 4\r\n"
	replies := map[string]rawReply{
		"000":             {statusLine: "HTTP/1.1 000 OK", head: length, body: "well"},
		"099":             {statusLine: "HTTP/1.1 099 OK", head: length, body: "well"},
		"600":             {statusLine: "HTTP/1.1 600 OK", head: length, body: "well"},
		"101":             {statusLine: "HTTP/1.1 101 OK", head: length, body: "well"},
		"version":         {statusLine: "HTTP/2.0 200 OK", head: length, body: "well"},
		"no-http":         {statusLine: "secret"},
		"blank-in-name":   {head: "X Trace: secret\r\n" + length, body: "well"},
		"blank-behind":    {head: "Content-Length : 2\r\n", body: "well"},
		"coding-blank":    {head: "Transfer-Encoding : chunked\r\n" + length, body: "well"},
		"control-in-name": {head: "X\x01: secret\r\n" + length, body: "well"},
		"nul-in-name":     {head: "X\x00: secret\r\n" + length, body: "well"},
		"high-in-name":    {head: "X\xe9: secret\r\n" + length, body: "well"},
		"no-colon":        {head: "secret\r\n" + length, body: "well"},
		"control-value":   {head: "X: secret\x02\r\n" + length, body: "well"},
		"folded":          {head: "X: a\r\n Content-Length: 2\r\n", body: "well"},
		"two-lengths":     {head: length + "Content-Length: 2\r\n", body: "well"},
		"coding":          {head: "Transfer-Encoding: secret\r\n", body: "well"},
	}
	byPath := map[string]rawReply{}
	for name, r := range replies {
		byPath["/"+name] = r
	}
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	startRawTarget(t, f, "desk", byPath)
	chats := maps.Clone(replies)
	startRawTarget(t, f, "drafting", chats)
	for name := range replies {
		for kind, send := range map[string]func() rawResponse{
			"service": func() rawResponse { return service(f, "/"+name).sendRaw(t, "HTTP/1.1") },
			"chat":    func() rawResponse { return chat(f.Entries[0], chatBody(false, 5, name)).sendRaw(t, "HTTP/1.1") },
			"stream":  func() rawResponse { return chat(f.Entries[0], chatBody(true, 5, name)).sendRaw(t, "HTTP/1.1") },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				got := send()
				if got.status != http.StatusBadGateway || got.err != nil {
					t.Errorf("got status %d, end %v, want 502", got.status, got.err)
				}
				if strings.Contains(got.body, "secret") {
					t.Errorf("got %q, want none of the target's bytes", got.body)
				}
			})
		}
	}
}
