package bodies_test

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/whole"
)

const (
	// memory is the memory of the machine, and budget what bodies get of it.
	memory = 4 << 20
	budget = memory / 4
	limit  = 512 << 10
)

func newAccount(memory int64) (*bodies.Account, *bytes.Buffer) {
	var log bytes.Buffer
	return bodies.NewAccount(bodies.Config{Memory: memory, Clock: clock.System(), Log: slog.New(slog.NewTextHandler(&log, nil))}), &log
}

// held returns the gauge of the bytes that are held.
func held() float64 { return metrics.GetOrCreateGauge("weldfall_request_bodies_bytes", nil).Get() }

// upload is a body that arrives piece by piece.
type upload struct {
	body *bodies.Body
	w    *io.PipeWriter
	// done receives the result of reading it.
	done chan error
}

// begin starts to read a body of unknown length, which arrives by write.
func begin(a *bodies.Account) *upload {
	r, w := io.Pipe()
	u := &upload{w: w, done: make(chan error, 1)}
	u.body = a.Body(func() { _ = r.CloseWithError(os.ErrDeadlineExceeded) })
	go func() {
		_, err := u.body.Read(r, -1, limit)
		u.done <- err
	}()
	return u
}

// write sends n bytes, as far as they are read.
func (u *upload) write(n int) {
	_, _ = u.w.Write(make([]byte, n))
}

// finish ends the body and returns the result of reading it.
func (u *upload) finish() error {
	_ = u.w.Close()
	return <-u.done
}

func TestBodiesArriveUnchanged(t *testing.T) {
	a, _ := newAccount(1 << 30)
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, 1000, 1024, 1025, 4096, 4097, 16 << 10, 16<<10 + 1, 40_000, 100_000, limit} {
		want := make([]byte, size)
		for n := range want {
			want[n] = byte(rnd.Uint32())
		}
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "half of it at a time": iotest.HalfReader, "end with the data": iotest.DataErrReader,
		} {
			for _, length := range []int64{int64(size), -1} {
				b := a.Body(func() {})
				got, err := b.Read(wrap(bytes.NewReader(want)), length, limit)
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("%d bytes, length %d, %s: got %d bytes by %v, want them unchanged", size, length, name, len(got), err)
				}
				if h := held(); h < float64(size) || h > float64(2*size+1024) {
					t.Errorf("%d bytes, length %d, %s: got %v bytes held, want about its size", size, length, name, h)
				}
				b.Release()
				if got, want := held(), 0.0; got != want {
					t.Errorf("%d bytes, length %d, %s: got %v bytes held at the end, want %v", size, length, name, got, want)
				}
			}
		}
	}
}

func TestBodiesThatFail(t *testing.T) {
	broken := errors.New("broken")
	for name, tc := range map[string]struct {
		r      io.Reader
		length int64
		want   error
	}{
		"length over the limit":   {iotest.ErrReader(errors.New("read")), limit + 1, whole.ErrTooLarge},
		"chunks over the limit":   {io.LimitReader(zeros{}, limit+1), -1, whole.ErrTooLarge},
		"chunks without end":      {zeros{}, -1, whole.ErrTooLarge},
		"fewer than the length":   {strings.NewReader("xxx"), 4, io.ErrUnexpectedEOF},
		"none of the length":      {strings.NewReader(""), 4, io.ErrUnexpectedEOF},
		"break with a length":     {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), 4, broken},
		"break without a length":  {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), -1, broken},
		"break of a length of 0":  {iotest.ErrReader(broken), 0, nil},
		"break in a later block":  {io.MultiReader(io.LimitReader(zeros{}, 50_000), iotest.ErrReader(broken)), 60_000, broken},
		"break behind the length": {io.MultiReader(strings.NewReader("xxxx"), iotest.ErrReader(broken)), 4, nil},
	} {
		a, _ := newAccount(1 << 30)
		b := a.Body(func() {})
		if _, err := b.Read(tc.r, tc.length, limit); !errors.Is(err, tc.want) {
			t.Errorf("%s: got %v, want %v", name, err, tc.want)
		}
		if got, want := held(), 0.0; tc.want != nil && got != want {
			t.Errorf("%s: got %v bytes held, want %v", name, got, want)
		}
		b.Release()
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a body that is refused in calm since it alone exceeds the budget.
func TestSingleBodyIsReadWhateverItsSize(t *testing.T) {
	a, _ := newAccount(limit)
	b := a.Body(func() { t.Error("got an interrupt, want none") })
	if body, err := b.Read(io.LimitReader(zeros{}, limit), -1, limit); err != nil || len(body) != limit {
		t.Errorf("got %d bytes by %v, want %d", len(body), err, limit)
	}
	b.Release()
}

// Guards against ordinary callers who are refused for others whose bodies never end: the
// incomplete body that has held the most for the longest gives way, a whole one never.
func TestLargestAndSlowestBodyGivesWay(t *testing.T) {
	a, log := newAccount(memory)
	stored := a.Body(func() { t.Error("got an interrupt of a whole body, want none") })
	if _, err := stored.Read(io.LimitReader(zeros{}, limit), limit, limit); err != nil {
		t.Fatal(err)
	}
	large, small := begin(a), begin(a)
	small.write(10 << 10)
	large.write(400 << 10)
	// Time counts, too.
	time.Sleep(20 * time.Millisecond)
	ordinary := begin(a)
	ordinary.write(200 << 10)
	if err := ordinary.finish(); err != nil {
		t.Errorf("ordinary body: got %v, want no error", err)
	}
	if err := <-large.done; !errors.Is(err, bodies.ErrNoRoom) {
		t.Errorf("large body: got %v, want %v", err, bodies.ErrNoRoom)
	}
	if err := small.finish(); err != nil {
		t.Errorf("small body: got %v, want no error", err)
	}
	if !strings.Contains(log.String(), "bodies_refused") {
		t.Errorf("got the log %q, want a line bodies_refused", log.String())
	}
	for _, b := range []*bodies.Body{stored, large.body, small.body, ordinary.body} {
		b.Release()
	}
	if got, want := held(), 0.0; got != want {
		t.Errorf("got %v bytes held at the end, want %v", got, want)
	}
}

// Guards against an ordinary large body that is refused for many smaller ones that never end.
func TestQuickLargeBodyIsReadBesideManySlowSmallOnes(t *testing.T) {
	a, _ := newAccount(memory)
	const slowSize = 100 << 10
	var slow []*upload
	for range budget / slowSize {
		u := begin(a)
		u.write(slowSize)
		slow = append(slow, u)
	}
	// Time counts, too.
	time.Sleep(100 * time.Millisecond)
	quick := begin(a)
	quick.write(limit)
	if err := quick.finish(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	quick.body.Release()
	for _, u := range slow {
		_ = u.finish()
		u.body.Release()
	}
}

// Guards against an incomplete body that takes the place of whole ones.
func TestIncompleteBodyGivesWayToWholeOnes(t *testing.T) {
	a, _ := newAccount(memory)
	var stored []*bodies.Body
	for range budget / limit {
		b := a.Body(func() { t.Error("got an interrupt of a whole body, want none") })
		if _, err := b.Read(io.LimitReader(zeros{}, limit), limit, limit); err != nil {
			t.Fatal(err)
		}
		stored = append(stored, b)
	}
	late := begin(a)
	if err := <-late.done; !errors.Is(err, bodies.ErrNoRoom) {
		t.Errorf("got %v, want %v", err, bodies.ErrNoRoom)
	}
	stored[0].Release()
	next := begin(a)
	next.write(1000)
	if err := next.finish(); err != nil {
		t.Errorf("after one was released: got %v, want no error", err)
	}
	for _, b := range append(stored, next.body, late.body) {
		b.Release()
	}
}

// Guards against an account that loses bytes, or stands still, as bodies of all kinds come and go.
func TestManyBodiesKeepToTheBudget(t *testing.T) {
	a, log := newAccount(memory)
	var wg sync.WaitGroup
	var mu sync.Mutex
	peak := 0.0
	for n := range 64 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(n), 1))
			for range 40 {
				u := begin(a)
				for left := rnd.IntN(limit); left > 0; left -= 20_000 {
					u.write(min(left, 20_000))
				}
				mu.Lock()
				peak = max(peak, held())
				mu.Unlock()
				if rnd.IntN(4) == 0 {
					_ = u.w.CloseWithError(io.ErrUnexpectedEOF)
				}
				if err := u.finish(); err != nil && !errors.Is(err, bodies.ErrNoRoom) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("got %v, want no such error", err)
				}
				u.body.Release()
			}
		})
	}
	wg.Wait()
	if peak > budget {
		t.Errorf("got %v bytes held, want at most %d", peak, budget)
	}
	if got, want := held(), 0.0; got != want {
		t.Errorf("got %v bytes held at the end, want %v", got, want)
	}
	if got := strings.Count(log.String(), "bodies_refused"); got > 20 {
		t.Errorf("got %d log lines, want about one a second", got)
	}
}

// Guards against a request whose body fits and whose copies of it don't: they are charged, make
// incomplete bodies give way, and the request is refused if whole bodies leave no room.
func TestCopiesOfABodyAreCharged(t *testing.T) {
	a, _ := newAccount(memory)
	first, second := a.Body(func() {}), a.Body(func() {})
	for _, b := range []*bodies.Body{first, second} {
		if _, err := b.Read(io.LimitReader(zeros{}, budget/8), budget/8, limit); err != nil {
			t.Fatal(err)
		}
	}
	open := begin(a)
	open.write(budget / 8)
	if err := first.Reserve(budget * 3 / 4); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if err := <-open.done; !errors.Is(err, bodies.ErrNoRoom) {
		t.Errorf("incomplete body: got %v, want %v", err, bodies.ErrNoRoom)
	}
	if err := second.Reserve(budget / 8); !errors.Is(err, bodies.ErrNoRoom) {
		t.Errorf("without room: got %v, want %v", err, bodies.ErrNoRoom)
	}
	if err := first.Reserve(budget / 8); err != nil {
		t.Errorf("less than before: got %v, want no error", err)
	}
	if err := second.Reserve(budget / 8); err != nil {
		t.Errorf("with room again: got %v, want no error", err)
	}
	if got, want := held(), budget/2.0; got != want {
		t.Errorf("got %v bytes held, want %v", got, want)
	}
	for _, b := range []*bodies.Body{first, second, open.body} {
		b.Release()
	}
	if got, want := held(), 0.0; got != want {
		t.Errorf("got %v bytes held at the end, want %v", got, want)
	}
}

// Guards against a request that is refused in calm since its body and the copies of it exceed the
// budget, beside a body that gives way for it.
func TestCopiesOfTheOnlyWholeBodyFitWhateverTheirSize(t *testing.T) {
	a, _ := newAccount(memory)
	only, open := a.Body(func() {}), begin(a)
	open.write(10 << 10)
	if _, err := only.Read(io.LimitReader(zeros{}, limit), limit, limit); err != nil {
		t.Fatal(err)
	}
	if err := only.Reserve(budget); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if err := <-open.done; !errors.Is(err, bodies.ErrNoRoom) {
		t.Errorf("incomplete body: got %v, want %v", err, bodies.ErrNoRoom)
	}
	only.Release()
	open.body.Release()
}
