package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/weldfall/weldfall/review/lab"
)

func init() { cases["pieces"] = missingPieces }

const (
	// pieceCount is the number of pieces of a stream, pieceGap the time between them.
	pieceCount = 10
	pieceGap   = 30 * time.Millisecond
	// streamPeriod is the time between streams.
	streamPeriod = 20 * time.Millisecond
	// crashes is the number of times at which two other engines of the sixteen crash. They are down for
	// downFor, and start again secondStart apart.
	crashes     = 3
	engineCount = 16
	downFor     = 2 * time.Second
	secondStart = 100 * time.Millisecond
	// crashPeriod is the time from one crash to the next.
	crashPeriod = 12 * time.Second
)

// pieceBounds are those of the site.
var pieceBounds = lab.Bounds{ContactMs: 6000, DrainMs: 5000, ConfigMs: 5000}

// missingPieces checks ORDER for streams at engines that crash and start again under their ID with
// another version.
func missingPieces(l *lab.Lab) (broken bool, err error) {
	route := lab.Route("r-draft", "/draft/", "stream", "draft", 2)
	route["resumable"], route["timeoutMs"] = true, 10000
	l.Publish("op/config", lab.Config(1, []map[string]any{route}, "draft"))
	var engines []*lab.StreamEngine
	for i := range engineCount {
		e, err := l.StartStreamEngine("draft", fmt.Sprintf("i-%d", i+1), "v1", pieceCount, pieceGap)
		if err != nil {
			return false, err
		}
		e.List()
		engines = append(engines, e)
	}
	gates, err := startGates(l, 5, func(int) lab.Bounds { return pieceBounds }, func(*lab.Gate, []*lab.Gate) (string, error) { return l.StoreAddr, nil })
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers []*lab.Caller
	for _, g := range gates {
		c := l.NewCaller(g)
		c.Repeat(ctx, streamPeriod, lab.Request{Path: "/draft/x", Key: lab.Key, Body: []byte("question"), Deadline: 10 * time.Second, Unique: true})
		callers = append(callers, c)
	}
	time.Sleep(8 * time.Second)
	for n := range crashes {
		began := time.Now()
		if l.Trouble {
			pair := engines[2*n : 2*n+2]
			for _, e := range pair {
				e.Crash()
			}
			time.Sleep(downFor)
			for _, e := range pair {
				if err := e.Start("v2"); err != nil {
					return false, err
				}
				e.List()
				time.Sleep(secondStart)
			}
		}
		time.Sleep(time.Until(began.Add(crashPeriod)))
	}
	stop()
	n := 0
	for i, c := range callers {
		answers := c.Wait()
		l.RecordCounts(gates[i].Name, answers)
		for _, a := range answers {
			if fault := pieceFault(a); fault != "" {
				n++
				l.Recordf("stream %s: %s", a.ID, fault)
			}
		}
		gates[i].RecordLog("other software version", "change=restarted")
	}
	l.Recordf("%d streams lack a piece, have one twice or are closed as complete too soon", n)
	return n > 0, nil
}

// pieceFault returns what is wrong with the pieces of a stream, "" if nothing is. A stream that
// breaks off may lack its last pieces.
func pieceFault(a lab.Answer) string {
	if a.Status != 200 {
		return ""
	}
	var ids []int
	for line := range strings.Lines(a.Body) {
		var id int
		if _, err := fmt.Sscanf(line, "id: %d", &id); err == nil {
			ids = append(ids, id)
		}
	}
	for i, id := range ids {
		if id != i+1 {
			return fmt.Sprintf("after piece %d comes piece %d", i, id)
		}
	}
	if a.Err == nil && !slices.Contains(ids, pieceCount) {
		return fmt.Sprintf("it was closed as complete after %d pieces", len(ids))
	}
	return ""
}
