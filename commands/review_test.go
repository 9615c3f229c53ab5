package commands_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/commands"
)

// published returns a config with one route as operators publish it.
func published(version, service, goal string) string {
	return `{"version":` + version + `,"routes":{"columns":["name","host","pathPrefix","type","timeoutMs","goalMs","priority","service","attempts"],` +
		`"rows":[["r","a.example","/a/","safe",600,` + goal + `,0,"` + service + `",2]]},` +
		`"services":{"columns":["name","maxConns"],"rows":[["app",220]]},"limits":{"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
}

func TestCheckConfigOfThePlatform(t *testing.T) {
	for _, tc := range []struct {
		name, next string
		code       int
		want       string
	}{
		{"changed", published("8", "app", "200"), 0, "differs: route r: Goal: 200, was 120\nversion 8: no errors, 0 entries that never match, 0 contradictions, 1 differences\n"},
		{"unknown service", published("8", "ap", "120"), 2, `error: route r: service "ap" is not published: publish it or correct the name`},
		{"version in force", published("7", "app", "120"), 2, "error: version: version 7 is not above 7, which is in force: entries ignore it"},
		{"no config", "{", 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, inForce := filepath.Join(t.TempDir(), "next.json"), filepath.Join(t.TempDir(), "in-force.json")
			for file, text := range map[string]string{next: tc.next, inForce: published("7", "app", "120")} {
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out, errOut bytes.Buffer
			code := commands.Main([]string{"check-config", next, "--in-force", inForce}, &out, &errOut)
			if code != tc.code || !strings.Contains(out.String(), tc.want) {
				t.Errorf("got code %d, output %q, error %q, want code %d and output with %q", code, out.String(), errOut.String(), tc.code, tc.want)
			}
		})
	}
}
