package commands_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/commands"
)

func TestAPageThatIsTooLargeIsCalledThat(t *testing.T) {
	const length = commands.MaxPage + 1
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		piece := []byte(strings.Repeat(" ", 1<<20))
		var err error
		for n := 0; n < length && err == nil; n += len(piece) {
			_, err = w.Write(piece[:min(len(piece), length-n)])
		}
	}))
	defer srv.Close()
	var out, errOut bytes.Buffer
	code := commands.Main([]string{"explain", "--from", srv.URL, "--path", "fleet"}, &out, &errOut)
	if want := strconv.Itoa(commands.MaxPage); code == 0 || !strings.Contains(errOut.String(), want) {
		t.Errorf("got code %d, %q, want an error that names the limit of %s bytes", code, errOut.String(), want)
	}
}
