package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
)

const (
	// maxWorkspaces is the number of workspaces that are counted one by one, about 150
	// bytes each. The rest count together.
	maxWorkspaces = 20_000
	// listedWorkspaces is the number of workspaces that the report lists.
	listedWorkspaces = 20
	// otherWorkspaces is the name of the rest.
	otherWorkspaces = "(others)"
	// noRoom is the reason of requests that were refused for lack of room.
	noRoom = "no_room"
)

// demand counts the requests of a workspace or of a priority.
type demand struct {
	name string
	// asked is the number of requests, the denied ones included.
	asked, inTime, late, refused, noRoom, failed, left int
	// pressed is the number of requests that found engines short of room, overShare that
	// of those in the excess of their workspace.
	pressed, overShare int
	// waitedMS is the total wait for a turn.
	waitedMS int
}

// lost returns how many requests got no response in time, or were left by their callers,
// who may have waited too long.
func (d *demand) lost() int { return d.late + d.refused + d.noRoom + d.failed + d.left }

func (d *demand) count(o Outcome, f map[string]string) {
	d.asked++
	switch o {
	case InTime:
		d.inTime++
	case Late:
		d.late++
	case Refused:
		if f["reason"] == noRoom {
			d.noRoom++
		} else {
			d.refused++
		}
	case Failed, Aborted:
		d.failed++
	case CallerDisconnected:
		d.left++
	case Denied:
	}
	if p, err := strconv.ParseFloat(f["pressure"], 64); err == nil && p >= 1 {
		d.pressed++
	}
	if f["over_share"] == "true" {
		d.overShare++
	}
	if ms, err := strconv.Atoi(f["turn_ms"]); err == nil {
		d.waitedMS += ms
	}
}

// recordDemand handles the final line of a request.
func (a *Account) recordDemand(o Outcome, f map[string]string) {
	if p := f["priority"]; p != "" {
		countDemand(a.priorities, p, o, f)
	}
	w := f["workspace"]
	if w == "" {
		return
	}
	if a.workspaces[w] == nil && len(a.workspaces) >= maxWorkspaces {
		w = otherWorkspaces
	}
	countDemand(a.workspaces, w, o, f)
}

func countDemand(in map[string]*demand, name string, o Outcome, f map[string]string) {
	d := in[name]
	if d == nil {
		d = &demand{name: name}
		in[name] = d
	}
	d.count(o, f)
}

// writeDemand prints the requests by priority, and of the workspaces that lost most.
func (a *Account) writeDemand(w io.Writer) {
	byName := slices.SortedFunc(maps.Values(a.priorities), func(x, y *demand) int {
		return cmp.Or(cmp.Compare(len(x.name), len(y.name)), cmp.Compare(x.name, y.name))
	})
	writeDemands(w, "priority", byName)
	byLost := slices.SortedFunc(maps.Values(a.workspaces), func(x, y *demand) int {
		return cmp.Or(cmp.Compare(y.lost(), x.lost()), cmp.Compare(y.asked, x.asked), cmp.Compare(x.name, y.name))
	})
	writeDemands(w, "workspace", byLost[:min(len(byLost), listedWorkspaces)])
	if n := len(byLost) - listedWorkspaces; n > 0 {
		_, _ = fmt.Fprintf(w, "%d more workspaces lost no more than these\n", n)
	}
}

func writeDemands(w io.Writer, title string, list []*demand) {
	if len(list) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s\tasked\tin time\tlate\tno room\trefused otherwise\tfailed\tcaller left\tshort of room\tabove its part\tmean wait\n", title)
	for _, d := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\n", d.name, d.asked, d.inTime, d.late, d.noRoom, d.refused, d.failed, d.left, d.pressed, d.overShare, d.waitedMS/max(1, d.asked))
	}
}
