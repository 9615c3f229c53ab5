package commands_test

import (
	"bytes"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/commands"
	"github.com/weldfall/weldfall/internal/largetest"
)

func TestOversizedPageError(t *testing.T) {
	srv := httptest.NewServer(largetest.OverLimit(commands.MaxPageBytes))
	defer srv.Close()
	var out, errOut bytes.Buffer
	code := commands.Main([]string{"explain", "--from", srv.URL, "--path", "fleet"}, &out, &errOut)
	if want := strconv.Itoa(commands.MaxPageBytes); code == 0 || !strings.Contains(errOut.String(), want) {
		t.Errorf("got code %d, %q, want an error that names the limit of %s bytes", code, errOut.String(), want)
	}
}
