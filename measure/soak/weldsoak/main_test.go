package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestMakeDir(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	got, err := makeDir(dir)
	if err != nil || got != dir {
		t.Fatalf("got %q, %v, want %q", got, err, dir)
	}
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		t.Errorf("got %v, want a directory", err)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err = makeDir(file); err == nil || !strings.Contains(err.Error(), file) || !strings.Contains(err.Error(), "--dir") {
		t.Errorf("got %v, want the path and the flag", err)
	}
}
