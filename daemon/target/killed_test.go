package target_test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/daemon/target"
)

var killedResponses = flag.Int("killed-responses", 300, "number of responses whose services are killed, for each signal")

// closingServiceEnv makes the test binary act as a service that ends its responses with its connections.
const closingServiceEnv = "WELDFALL_TEST_CLOSING_SERVICE"

// closingPieces and closingPause are the pieces of a response of such a service.
const (
	closingPieces = 8
	closingPause  = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(closingServiceEnv) != "" {
		os.Exit(runClosingService())
	}
	os.Exit(m.Run())
}

// runClosingService prints its address and serves until it is killed.
func runClosingService() int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Println(ln.Addr())
	for {
		nc, err := ln.Accept()
		if err != nil {
			return 1
		}
		go func() {
			defer func() { _ = nc.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(nc))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n")
			for n := range closingPieces {
				_, _ = fmt.Fprint(nc, n)
				time.Sleep(closingPause)
			}
		}()
	}
}

// startClosingService starts a service in a process of its own. kill ends it.
func startClosingService(t *testing.T) (c *target.Client, kill func(os.Signal)) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), closingServiceEnv+"=1", "GOMAXPROCS=2")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return target.New(strings.TrimSpace(line), nil), func(sig os.Signal) { _ = cmd.Process.Signal(sig) }
}

// Guards against a part of a response that is taken for ended by its sender: the process of the
// service, which ends its responses with their connections, was killed between two pieces.
func TestResponseOfAKilledServiceIsNotTakenForEnded(t *testing.T) {
	const perService = 30
	for _, sig := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, 1))
			var mu sync.Mutex
			senders := map[framing.Sender]int{}
			whole, cut, failed := 0, 0, 0
			for range *killedResponses / perService {
				c, kill := startClosingService(t)
				var wg sync.WaitGroup
				for range perService {
					wg.Go(func() {
						res, err := c.Do(t.Context(), target.Request{Method: http.MethodPost, Path: "/x", Body: []byte("b")})
						mu.Lock()
						failed++
						mu.Unlock()
						if err != nil {
							return
						}
						defer func() { _ = res.Body.Close() }()
						body, err := io.ReadAll(res.Body)
						if err != nil {
							return
						}
						got := target.Sender(t.Context(), res)
						mu.Lock()
						defer mu.Unlock()
						failed--
						senders[got]++
						if len(body) == closingPieces {
							whole++
							return
						}
						cut++
						if err := (framing.End{Framing: framing.UntilClose, Err: io.EOF, Sending: framing.Sent, Sender: got}).CheckedErr(); errors.Is(err, io.EOF) {
							t.Errorf("got %d of %d pieces and a sender that %s, want a broken response", len(body), closingPieces, got)
						}
					})
					time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
				}
				time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
				kill(sig)
				wg.Wait()
			}
			t.Logf("%d whole, %d cut, %d failed; senders %v", whole, cut, failed, senders)
			if cut == 0 {
				t.Error("got no response that was cut, want some")
			}
		})
	}
}

// A service that stands has ended its responses, also short ones and beside others.
func TestResponseOfAStandingServiceIsTakenForEnded(t *testing.T) {
	c, _ := startClosingService(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	for n := range *killedResponses {
		wg.Go(func() {
			res, err := c.Do(t.Context(), target.Request{Method: http.MethodPost, Path: "/x", Body: []byte("b"), AtMostOnce: n%2 == 0})
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = res.Body.Close() }()
			body, err := io.ReadAll(res.Body)
			if got := target.Sender(t.Context(), res); err != nil || got != framing.SenderStands || len(body) != closingPieces {
				t.Errorf("got %d pieces, %v, a sender that %s, want the whole response of one that stands", len(body), err, got)
			}
		})
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	wg.Wait()
}
