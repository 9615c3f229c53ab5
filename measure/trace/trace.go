// Package trace reads and writes recorded arrivals, for replays of routing decisions.
package trace

import (
	"compress/gzip"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/weldfall/weldfall/common/clock"
)

// Turn is one request of a trace.
type Turn struct {
	// Arrival is the time since the start of the trace.
	Arrival clock.Millis
	// Chat identifies the chat; Number counts its turns from 0.
	Chat, Number int
	// Workspace identifies the workspace.
	Workspace int
	// PromptTokens is the size of the complete prompt, SharedTokens that of the part left
	// by the previous turn, OutputTokens that of the response.
	PromptTokens, SharedTokens, OutputTokens int
}

const columns = 7

// Write writes turns as gzipped CSV.
func Write(w io.Writer, turns []Turn) error {
	z := gzip.NewWriter(w)
	c := csv.NewWriter(z)
	for _, t := range turns {
		row := make([]string, 0, columns)
		for _, n := range []int{int(t.Arrival), t.Chat, t.Number, t.Workspace, t.PromptTokens, t.SharedTokens, t.OutputTokens} {
			row = append(row, strconv.Itoa(n))
		}
		if err := c.Write(row); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	c.Flush()
	if err := c.Error(); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	if err := z.Close(); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}

// Read reads turns that Write wrote. It fails on a row that is malformed.
func Read(r io.Reader) ([]Turn, error) {
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	c := csv.NewReader(z)
	c.FieldsPerRecord = columns
	var out []Turn
	for line := 1; ; line++ {
		row, err := c.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read trace: %w", err)
		}
		var n [columns]int
		for i, s := range row {
			if n[i], err = strconv.Atoi(s); err != nil {
				return nil, fmt.Errorf("read trace: line %d, column %d: %w", line, i+1, err)
			}
		}
		out = append(out, Turn{clock.Millis(n[0]), n[1], n[2], n[3], n[4], n[5], n[6]})
	}
}
