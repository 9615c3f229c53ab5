// Package wire holds the messages between the processes of the fleet. They
// travel as JSON-RPC 2.0 with short keys, since control traffic is limited.
package wire

import (
	"encoding/json"
	"fmt"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// Methods of the JSON-RPC connections.
const (
	MethodRun      = "run"
	MethodResume   = "resume"
	MethodCancel   = "cancel"
	MethodPing     = "ping"
	MethodPlaced   = "placed"
	MethodClaim    = "claim"
	MethodRelease  = "release"
	MethodExchange = "exchange"
	MethodPush     = "push"
	MethodImport   = "import"
	MethodFetch    = "fetch"
	MethodHello    = "hello"
)

// Decode reads the parameters of a method; the error names the method.
func Decode[T any](method string, params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, fmt.Errorf("%s: %w", method, err)
	}
	return v, nil
}

// Mode says how far a daemon may go when it decides about a request.
type Mode string

const (
	// ModeNormal lets the daemon admit or refuse for its load.
	ModeNormal Mode = "normal"
	// ModeCachedOnly asks for a refusal unless the chat's prefix is cached; the
	// refusal may name an engine that has it.
	ModeCachedOnly Mode = "cached_only"
	// ModeForce asks for admission over the load bound, after engines that
	// were sampled have all refused; the queue's bound still holds.
	ModeForce Mode = "force"
)

// Once is what a daemon must know to run a request at most once.
type Once struct {
	// Key is the hash of workspace and caller's key; never zero.
	Key uint64 `json:"k"`
	// CreatedAt is the wall time in the key in milliseconds, zero if it has none.
	CreatedAt clock.Millis `json:"b,omitempty"`
	// Window is how long a key is remembered, in milliseconds.
	Window clock.Millis `json:"w"`
}

// Run asks the daemon in front of Engine to run a request.
type Run struct {
	// Attempt is unique to this attempt; frames carry it.
	Attempt uint64 `json:"a"`
	Request string `json:"r"`
	Engine  string `json:"e"`

	Partner   string `json:"p"`
	Workspace string `json:"ws"`
	Service   string `json:"sv"`
	// PartnerShare and WorkspaceShare weigh the fair queue; both above zero.
	PartnerShare   float64 `json:"ps"`
	WorkspaceShare float64 `json:"wh"`
	// Priority is handed to the engine; larger goes first.
	Priority int `json:"pr,omitempty"`

	// Chat is the chat's hash, zero for a plain service.
	Chat uint64 `json:"c,omitempty"`
	Mode Mode   `json:"md,omitempty"`

	Method string            `json:"m"`
	Path   string            `json:"u"`
	Header map[string]string `json:"h,omitempty"`
	Body   []byte            `json:"d,omitempty"`
	Stream bool              `json:"s,omitempty"`
	// WantUsage is true when the caller asked for the usage in the stream.
	WantUsage bool `json:"wu,omitempty"`

	// Cost is an estimate in tokens, prompt and answer.
	Cost int `json:"ct"`
	// Remaining is the time to the deadline in milliseconds.
	Remaining clock.Millis `json:"l"`
	Once      *Once        `json:"o,omitempty"`
	// MeanLoad is the sender's estimate of the pool's mean load per slot, below
	// zero if it knows too little.
	MeanLoad float64 `json:"mn"`
	// LoadBound and LoadFloor are the pool's settings as the sender has them.
	LoadBound float64 `json:"lb"`
	LoadFloor int     `json:"lf"`
	// QueueLimit bounds the requests that wait at one engine.
	QueueLimit int `json:"ql"`
	// Loads are the freshest that the sender knows, of any engines.
	Loads []Load `json:"ld,omitempty"`
}

// Load is the load of one engine: requests running or waiting.
type Load struct {
	Engine   string `json:"e"`
	Requests int    `json:"n"`
	// Age is how old the figure is, in milliseconds.
	Age clock.Millis `json:"g,omitempty"`
}

// Usage is what a finished request consumed, in tokens.
type Usage struct {
	Prompt     int `json:"p"`
	Cached     int `json:"c"`
	Completion int `json:"o"`
}

// Head is the status and header of an answer; it comes in the first frame.
type Head struct {
	Status int               `json:"s"`
	Header map[string]string `json:"h,omitempty"`
	// Loads begin with the engine's own when the answer began; the rest are
	// the freshest that the daemon knows of others.
	Loads []Load `json:"l,omitempty"`
}

// The header that marks a Head of an answer that ends with the engine's connection. It is no
// field, since processes without that field could not read the frame. They pass the header
// on, and net/http then ends their answer with its connection, too.
const (
	transferEncoding = "Transfer-Encoding"
	identity         = "identity"
)

// MarkEndsUntilClose marks the answer as one that ends with the engine's connection, so that
// nobody knows whether it is complete.
func (h *Head) MarkEndsUntilClose() { h.Header[transferEncoding] = identity }

// EndsUntilClose reports whether the answer ends with the engine's connection.
func (h *Head) EndsUntilClose() bool { return h.Header[transferEncoding] == identity }

// Frame is a piece of an answer. Seq counts from zero without gaps. Frames
// travel as MessagePack arrays, in the order of these fields.
type Frame struct {
	Attempt uint64 `json:"a"`
	Seq     int    `json:"s"`
	// Count is the number of frames merged into this one, zero for one.
	Count int    `json:"n,omitempty"`
	Head  *Head  `json:"h,omitempty"`
	Data  []byte `json:"d,omitempty"`
}

// Resume asks for the frames of an attempt again, from Seq From on.
type Resume struct {
	Attempt uint64 `json:"a"`
	From    int    `json:"f"`
	// BootID is the daemon's, as the sender knew it when it sent the attempt.
	BootID uint64 `json:"b"`
}

// Result ends an attempt. With verdict Ran the answer is whole when all
// Frames frames have arrived.
type Result struct {
	Verdict verdict.Verdict `json:"v"`
	Reason  verdict.Reason  `json:"r,omitempty"`
	Message string          `json:"m,omitempty"`
	// RetryAfter is in milliseconds.
	RetryAfter clock.Millis `json:"ra,omitempty"`
	// Refused is true when the daemon did not take the request, so that
	// another engine may.
	Refused bool `json:"rf,omitempty"`
	// Redirect names the engine that holds the chat, if known.
	Redirect string `json:"rd,omitempty"`
	// Cached is what the refusing engine holds of the chat's earlier turns,
	// in tokens, beside a redirect.
	Cached int `json:"cd,omitempty"`
	Frames int `json:"f,omitempty"`
	// EndedIncarnation is the mark of the life of the engine if it ended while it ran the
	// request, else zero.
	EndedIncarnation uint32 `json:"en,omitempty"`
	Usage            Usage  `json:"us,omitzero"`
	Loads            []Load `json:"ld,omitempty"`
}

// Cancel asks that an attempt be given up.
type Cancel struct {
	Attempt uint64 `json:"a"`
	// BootID is the daemon's, as the sender knew it when it sent the attempt.
	BootID uint64 `json:"b"`
}

// Canceled answers Cancel; only NotRun is a promise.
type Canceled struct {
	Verdict verdict.Verdict `json:"v"`
}

// Ping keeps a connection with requests in flight known to be alive.
type Ping struct{}

// Placed tells the home of a chat where its latest turn ran.
type Placed struct {
	Home   string `json:"h"`
	Chat   uint64 `json:"c"`
	Engine string `json:"e"`
}

// Claim asks a witness to promise that only Attempt runs Key.
type Claim struct {
	Key       uint64       `json:"k"`
	Attempt   uint64       `json:"a"`
	CreatedAt clock.Millis `json:"b,omitempty"`
	Window    clock.Millis `json:"w"`
}

// Grant answers Claim.
type Grant struct {
	Granted bool `json:"g"`
	// StartedLate is true when the witness started too late to know of every
	// earlier claim on the key.
	StartedLate bool `json:"y,omitempty"`
	// Holder is the attempt that has the key when it was not granted.
	Holder uint64 `json:"h,omitempty"`
}

// Import hands over the cached prefix of a chat.
type Import struct {
	Engine string `json:"e"`
	Chat   uint64 `json:"c"`
	Tokens int    `json:"t"`
	Blob   []byte `json:"b"`
}

// Topic is one of the ordered sequences of published items.
type Topic string

const (
	// TopicCore has the settings of the fleet and the partners.
	TopicCore Topic = "core"
	// TopicBranches has the settings of workspaces and services.
	TopicBranches Topic = "branches"
	// TopicInstances has the list of live and leaving instances.
	TopicInstances Topic = "instances"
)

// Topics lists all topics in the order in which a new process needs them.
var Topics = []Topic{TopicCore, TopicInstances, TopicBranches}

// PrevUnknown is the Prev of an item that does not say what came before it.
const PrevUnknown = -1

// Item is the latest value of one key of a topic.
type Item struct {
	Topic Topic  `json:"t"`
	Key   string `json:"k"`
	// Rev is the platform's revision of the change; it orders a topic.
	Rev int64 `json:"r"`
	// Prev is the revision before Rev in the topic, PrevUnknown if unknown.
	Prev  int64  `json:"p,omitempty"`
	Value string `json:"v,omitempty"`
	// Gone is true for a key that was deleted.
	Gone bool `json:"x,omitempty"`
	// LastGood is the last valid value and GoodRev its revision, when Value is
	// not valid.
	LastGood    string `json:"g,omitempty"`
	LastGoodRev int64  `json:"q,omitempty"`
}

// Hello answers the first call on a connection.
type Hello struct {
	// BootID is random for each start of a process, so that a caller can tell
	// whether the other side still has its memory.
	BootID uint64 `json:"b"`
}

// Fetch asks a peer for single items, by key.
type Fetch struct {
	Topic Topic    `json:"t"`
	Keys  []string `json:"k"`
}

// Fetched answers Fetch.
type Fetched struct {
	Items []Item `json:"i,omitempty"`
	// Upto is the revision up to which the peer's topic is complete.
	Upto int64 `json:"u"`
}

// Exchange tells a peer what the sender has and asks for what it lacks.
type Exchange struct {
	From string `json:"f"`
	// Revs is the revision up to which the sender has each topic it holds.
	Revs map[Topic]int64 `json:"r"`
	// PlatformAge is how long ago, in milliseconds, the platform answered anybody.
	PlatformAge clock.Millis `json:"a"`
	Loads       []Load       `json:"l,omitempty"`
	// Leaving names instances known to leave, by their own word.
	Leaving []string `json:"x,omitempty"`
	// LastGoodRevs has the last good revisions of keys whose value is not valid.
	LastGoodRevs map[string]int64 `json:"g,omitempty"`
}

// Exchanged answers Exchange.
type Exchanged struct {
	Items []Item `json:"i,omitempty"`
	// Upto is the revision that the asker has after Items, by topic.
	Upto        map[Topic]int64 `json:"u,omitempty"`
	Revs        map[Topic]int64 `json:"r"`
	PlatformAge clock.Millis    `json:"a"`
	Loads       []Load          `json:"l,omitempty"`
	Leaving     []string        `json:"x,omitempty"`
}

// Push brings new items to a peer as soon as they are known.
type Push struct {
	From    string   `json:"f"`
	Items   []Item   `json:"i,omitempty"`
	Leaving []string `json:"x,omitempty"`
}
