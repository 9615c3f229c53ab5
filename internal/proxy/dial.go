package proxy

import (
	"cmp"
	"net"
	"os"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/link"
)

// LinksEnv has the links that a test's process dials in place of other processes, each as
// "address=link", separated by spaces.
const LinksEnv = "WELDFALL_TEST_LINKS"

// DialLinks makes this process dial the links of LinksEnv.
func DialLinks() {
	links := map[string]string{}
	for _, field := range strings.Fields(os.Getenv(LinksEnv)) {
		addr, via, _ := strings.Cut(field, "=")
		links[addr] = via
	}
	link.SetDial(func(addr string, timeout clock.Millis) (net.Conn, error) {
		return net.DialTimeout("tcp", cmp.Or(links[addr], addr), timeout.Duration())
	})
}
