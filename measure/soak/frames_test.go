package soak_test

import (
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/measure/soak"
)

func TestReadMessage(t *testing.T) {
	cases := []struct {
		name, proto, answer, body string
		end                       framing.Completeness
		faulty                    bool
	}{
		{name: "length", answer: "Content-Length: 4\r\n\r\nbody", body: "body", end: framing.Complete},
		{name: "length in 1.0", proto: "HTTP/1.0", answer: "Content-Length: 4\r\n\r\nbody", body: "body", end: framing.Complete},
		{name: "less than its length", answer: "Content-Length: 5\r\n\r\nbody", body: "body", end: framing.Incomplete},
		{name: "empty", answer: "Content-Length: 0\r\n\r\n", end: framing.Complete},
		{name: "neither", answer: "\r\nbody", body: "body", end: framing.Closed},
		{name: "chunks", answer: "Transfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1;x=y\r\ny\r\n0\r\n\r\n", body: "body", end: framing.Complete},
		{name: "trailers", answer: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n", body: "body", end: framing.Complete},
		{name: "no last chunk", answer: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", body: "body", end: framing.Incomplete},
		{name: "no end of the last chunk", answer: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", body: "body", end: framing.Incomplete},
		{name: "a chunk cut short", answer: "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", body: "bo", end: framing.Incomplete},
		{name: "a chunk longer than its size", answer: "Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n", body: "bod", end: framing.Incomplete},
		{name: "no end of the head", answer: "Content-Length: 4\r\n", end: framing.Incomplete},
		{name: "both", answer: "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", end: framing.Incomplete, faulty: true},
		{name: "two lengths", answer: "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", end: framing.Incomplete, faulty: true},
		{name: "chunks in 1.0", proto: "HTTP/1.0", answer: "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", end: framing.Incomplete, faulty: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.proto == "" {
				tc.proto = "HTTP/1.1"
			}
			body, end, fault := soak.ReadMessage("HTTP/1.1 200 OK\r\n"+tc.answer, tc.proto)
			if body != tc.body || end != tc.end || (fault != "") != tc.faulty {
				t.Errorf("got %q, %s, fault %q, want %q, %s, a fault %v", body, end, fault, tc.body, tc.end, tc.faulty)
			}
		})
	}
}

func TestJudgeCompleteness(t *testing.T) {
	const ms = time.Millisecond
	whole := soak.WantBody("/unsafe/x")
	killed := soak.EndedResponse{Trouble: soak.Kill, From: -100 * ms, Until: 200 * ms}
	for name, c := range map[string]struct {
		answer soak.EndedResponse
		broken int
	}{
		"complete by both":                            {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Complete}},
		"closed reported as complete":                 {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Closed}, broken: 1},
		"incomplete reported as complete":             {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Incomplete}, broken: 1},
		"not ended and reported as complete":          {answer: soak.EndedResponse{End: framing.Complete}, broken: 1},
		"closed by both":                              {answer: soak.EndedResponse{End: framing.Closed, Ran: framing.Closed}},
		"incomplete reported as closed":               {answer: soak.EndedResponse{End: framing.Closed, Ran: framing.Incomplete}, broken: 1},
		"incomplete reported as closed to 1.0":        {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Ran: framing.Incomplete}, broken: 1},
		"complete reported as closed":                 {answer: soak.EndedResponse{End: framing.Closed, Ran: framing.Complete}, broken: 1},
		"complete reported as closed to 1.0":          {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Ran: framing.Complete}},
		"closed early by both":                        {answer: soak.EndedResponse{End: framing.Closed, Ran: framing.Closed, Body: whole[:3], Sent: 3}},
		"closed earlier than by the engine":           {answer: soak.EndedResponse{End: framing.Closed, Ran: framing.Closed, Body: whole[:3]}, broken: 1},
		"closed with another body":                    {answer: soak.EndedResponse{End: framing.Closed, Ran: framing.Closed, Body: "xxx", Sent: 3}, broken: 1},
		"a stream closed early":                       {answer: soak.EndedResponse{Path: "/chat/x", End: framing.Closed, Ran: framing.Closed, Body: "id: 1\n", Sent: 6}, broken: 1},
		"incomplete reported as such":                 {answer: soak.EndedResponse{End: framing.Incomplete, Ran: framing.Incomplete}},
		"closed reported as incomplete":               {answer: soak.EndedResponse{End: framing.Incomplete, Ran: framing.Closed}, broken: 1},
		"closed and another response":                 {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Closed, Unsigned: true}, broken: 1},
		"closed reported as incomplete, late":         {answer: soak.EndedResponse{End: framing.Incomplete, Ran: framing.Closed, Took: 4000 * ms}},
		"closed reported as incomplete, engines' way": {answer: soak.EndedResponse{End: framing.Incomplete, Ran: framing.Closed, Trouble: soak.BreakResponses, Until: 200 * ms}, broken: 1},
		"closed reported as incomplete, link":         {answer: soak.EndedResponse{End: framing.Incomplete, Ran: framing.Closed, Trouble: soak.EngineLink, Until: 200 * ms}},
		"a killed gate's end":                         {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Trouble: killed.Trouble, From: killed.From, Until: killed.Until}},
		"the end of a gate killed at a stop":          {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Body: "for", Trouble: soak.Kill, From: killed.From, Until: killed.Until, Late: true}},
		"another response of a killed gate":           {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Body: "xxx", Trouble: soak.Kill, From: killed.From, Until: killed.Until}, broken: 1},
		"a whole stream of a killed gate":             {answer: soak.EndedResponse{Path: "/chat/x", By: "HTTP/1.0", End: framing.Closed, Trouble: soak.Kill, From: killed.From, Until: killed.Until}},
		"a part of a stream of a killed gate":         {answer: soak.EndedResponse{Path: "/chat/x", By: "HTTP/1.0", End: framing.Closed, Body: "id: 1\n", Trouble: soak.Kill, From: killed.From, Until: killed.Until}, broken: 1},
		"ended before a gate was killed":              {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Trouble: soak.Kill, From: 101 * ms, Until: 200 * ms, Late: true}, broken: 1},
		"a paused gate's end":                         {answer: soak.EndedResponse{By: "HTTP/1.0", End: framing.Closed, Trouble: soak.Pause, From: killed.From, Until: killed.Until}, broken: 1},
		"a killed gate's complete response":           {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Closed, Trouble: killed.Trouble, From: killed.From, Until: killed.Until}, broken: 1},
		"continued, complete reported as closed":      {answer: soak.EndedResponse{Path: "/resume/x", End: framing.Closed, Ran: framing.Complete, Before: framing.UntilClose}},
		"continued from chunks, reported as closed":   {answer: soak.EndedResponse{Path: "/resume/x", End: framing.Closed, Ran: framing.Complete, Before: framing.Chunked}, broken: 1},
		"continued in part, reported as closed":       {answer: soak.EndedResponse{Path: "/resume/x", End: framing.Closed, Ran: framing.Complete, Before: framing.UntilClose, Body: "id: 1\n"}, broken: 1},
		"continued, closed reported as incomplete":    {answer: soak.EndedResponse{Path: "/resume/x", End: framing.Incomplete, Ran: framing.Closed, Before: framing.Chunked}},
		"continued, closed reported as complete":      {answer: soak.EndedResponse{Path: "/resume/x", End: framing.Complete, Ran: framing.Closed, Before: framing.Chunked}, broken: 1},
		"continued in 1.0, reported as incomplete":    {answer: soak.EndedResponse{Path: "/resume/x", By: "HTTP/1.0", End: framing.Incomplete, Ran: framing.Closed, Before: framing.Chunked}, broken: 1},
		"run again, closed reported as incomplete":    {answer: soak.EndedResponse{Path: "/safe/x", End: framing.Incomplete, Ran: framing.Closed, Before: framing.Length}, broken: 1},
		"complete by an engine, another one is late":  {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Complete, LateRun: true}},
		"closed as complete, another one is late":     {answer: soak.EndedResponse{End: framing.Complete, Ran: framing.Closed, LateRun: true}, broken: 1},
		"not ended, another one is late":              {answer: soak.EndedResponse{End: framing.Complete, LateRun: true}, broken: 1},
		"frames with a fault":                         {answer: soak.EndedResponse{End: framing.Incomplete, Ran: framing.Incomplete, Fault: "two lengths"}, broken: 1},
	} {
		if got := soak.JudgeCompleteness(c.answer); len(got) != c.broken {
			t.Errorf("%s: got %q, want %d", name, strings.Join(got, "; "), c.broken)
		}
	}
}
