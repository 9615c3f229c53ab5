// Package wire defines the messages between the processes of the fleet. They travel as
// JSON-RPC 2.0 with short keys, since control traffic has a budget.
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
	MethodAck      = "ack"
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

// Decode decodes the parameters of a method. The error names the method.
func Decode[T any](method string, params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, fmt.Errorf("%s: %w", method, err)
	}
	return v, nil
}

// Mode is how a daemon decides whether to admit a request.
type Mode string

const (
	// ModeNormal lets the daemon admit the request or refuse it because of its load.
	ModeNormal Mode = "normal"
	// ModeCachedOnly requires a refusal unless the chat's prefix is cached. The refusal
	// may name an engine that has it.
	ModeCachedOnly Mode = "cached_only"
	// ModeForce requires admission above the load bound, after all sampled engines
	// refused. The limit of the queue still applies.
	ModeForce Mode = "force"
)

// Once is what a daemon needs to run a request at most once.
type Once struct {
	// Key is the hash of the workspace and the caller's key; never zero.
	Key uint64 `json:"k"`
	// CreatedAt is the wall time in the key, zero if it has none.
	CreatedAt clock.Millis `json:"b,omitempty"`
	// Window is how long a key is remembered.
	Window clock.Millis `json:"w"`
}

// Run asks the daemon of Engine to run a request.
type Run struct {
	// Attempt is unique to this attempt. Frames carry it.
	Attempt uint64 `json:"a"`
	Request string `json:"r"`
	Engine  string `json:"e"`

	Partner   string `json:"p"`
	Workspace string `json:"ws"`
	Service   string `json:"sv"`
	// PartnerShare and WorkspaceShare are the weights in the fair queue; both are above
	// zero.
	PartnerShare   float64 `json:"ps"`
	WorkspaceShare float64 `json:"wh"`
	// Priority is passed to the engine; larger values go first.
	Priority int `json:"pr,omitempty"`

	// Chat is the hash of the chat, zero for a plain service.
	Chat uint64 `json:"c,omitempty"`
	Mode Mode   `json:"md,omitempty"`

	Method string            `json:"m"`
	Path   string            `json:"u"`
	Header map[string]string `json:"h,omitempty"`
	Body   []byte            `json:"d,omitempty"`
	Stream bool              `json:"s,omitempty"`
	// WantUsage is true if the caller asked for the usage in the stream.
	WantUsage bool `json:"wu,omitempty"`

	// Cost is an estimate of the tokens in prompt and response.
	Cost int `json:"ct"`
	// Remaining is the time to the deadline.
	Remaining clock.Millis `json:"l"`
	Once      *Once        `json:"o,omitempty"`
	// MeanLoad is the sender's estimate of the pool's mean load per slot, negative if too
	// little is known.
	MeanLoad float64 `json:"mn"`
	// LoadBound and LoadFloor are the pool's settings as the sender knows them.
	LoadBound float64 `json:"lb"`
	LoadFloor int     `json:"lf"`
	// QueueLimit limits the requests that wait at one engine.
	QueueLimit int `json:"ql"`
	// Loads are the freshest loads known to the sender, of any engines.
	Loads []Load `json:"ld,omitempty"`
	// Acks is true if the sender acknowledges frames, which limits those that the daemon
	// retains. Earlier versions don't.
	Acks bool `json:"ak,omitempty"`
}

// Ack tells a daemon that the sender needs the frames of an attempt before Next no more. It is a
// notification.
type Ack struct {
	Attempt uint64 `json:"a"`
	Next    int    `json:"n"`
}

const (
	// MaxUnacked limits the bytes of the frames of an attempt that were not acknowledged.
	MaxUnacked = 256 << 10
	// AckBytes is the number of bytes of frames after which a sender acknowledges them.
	AckBytes = MaxUnacked / 4
	// frameOverhead is what a frame takes beside its data, in bytes.
	frameOverhead = 100
)

// Size returns what a frame counts for MaxUnacked and AckBytes.
func (f Frame) Size() int { return len(f.Data) + frameOverhead*max(1, f.Count) }

// Load is the load of an engine: its running and waiting requests.
type Load struct {
	Engine   string `json:"e"`
	Requests int    `json:"n"`
	// Age is the time since the load was reported.
	Age clock.Millis `json:"g,omitempty"`
}

// Usage is what a finished request consumed, in tokens.
type Usage struct {
	Prompt     int `json:"p"`
	Cached     int `json:"c"`
	Completion int `json:"o"`
}

// Head is the status and header of a response, sent in its first frame.
type Head struct {
	Status int               `json:"s"`
	Header map[string]string `json:"h,omitempty"`
	// Loads begin with the load of the engine itself when the response began, followed by
	// the freshest loads known to the daemon.
	Loads []Load `json:"l,omitempty"`
}

// A header marks a response that ends with the engine's connection. A field of Head would
// break the decoding of frames in processes without it. Those pass the header on, and
// net/http then ends their response with its connection, too.
const (
	transferEncoding = "Transfer-Encoding"
	identity         = "identity"
)

// MarkEndsUntilClose marks the response as one that ends with the engine's connection, so
// that it is unknown whether it is complete.
func (h *Head) MarkEndsUntilClose() { h.Header[transferEncoding] = identity }

// EndsUntilClose reports whether the response ends with the engine's connection.
func (h *Head) EndsUntilClose() bool { return h.Header[transferEncoding] == identity }

// Frame is a part of a response. Seq counts from zero without gaps. Frames travel as
// MessagePack arrays, in the order of these fields.
type Frame struct {
	Attempt uint64 `json:"a"`
	Seq     int    `json:"s"`
	// Count is the number of frames merged into this one, zero for one.
	Count int    `json:"n,omitempty"`
	Head  *Head  `json:"h,omitempty"`
	Data  []byte `json:"d,omitempty"`
}

// Resume requests the frames of an attempt again, from Seq From on.
type Resume struct {
	Attempt uint64 `json:"a"`
	From    int    `json:"f"`
	// BootID is the daemon's boot ID as the sender knew it when it sent the attempt.
	BootID uint64 `json:"b"`
}

// Result ends an attempt. With the verdict Ran the response is complete once Frames
// frames have arrived.
type Result struct {
	Verdict    verdict.Verdict `json:"v"`
	Reason     verdict.Reason  `json:"r,omitempty"`
	Message    string          `json:"m,omitempty"`
	RetryAfter clock.Millis    `json:"ra,omitempty"`
	// Refused is true if the daemon did not accept the request, so that another engine
	// may.
	Refused bool `json:"rf,omitempty"`
	// Redirect is the engine that holds the chat, if known.
	Redirect string `json:"rd,omitempty"`
	// Cached is how many tokens of the chat's earlier turns the refusing engine holds,
	// sent with a redirect.
	Cached int `json:"cd,omitempty"`
	Frames int `json:"f,omitempty"`
	// EndedIncarnation is the hash of the engine's incarnation if it ended while it ran
	// the request, else zero.
	EndedIncarnation uint32 `json:"en,omitempty"`
	Usage            Usage  `json:"us,omitzero"`
	Loads            []Load `json:"ld,omitempty"`
}

// Cancel requests that an attempt be canceled.
type Cancel struct {
	Attempt uint64 `json:"a"`
	// BootID is the daemon's boot ID as the sender knew it when it sent the attempt.
	BootID uint64 `json:"b"`
}

// Canceled answers Cancel. Only the verdict NotRun is final.
type Canceled struct {
	Verdict verdict.Verdict `json:"v"`
}

// Ping shows that a connection with requests in flight is alive.
type Ping struct{}

// Placed reports to the home engine of a chat where its latest turn ran.
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
	// StartedLate is true if the witness started too late to know every earlier claim on
	// the key.
	StartedLate bool `json:"y,omitempty"`
	// Holder is the attempt that holds the key if it was not granted.
	Holder uint64 `json:"h,omitempty"`
}

// Import transfers the cached prefix of a chat.
type Import struct {
	Engine string `json:"e"`
	Chat   uint64 `json:"c"`
	Tokens int    `json:"t"`
	Blob   []byte `json:"b"`
}

// Topic is an ordered sequence of published items.
type Topic string

const (
	// TopicCore holds the settings of the fleet and of the partners.
	TopicCore Topic = "core"
	// TopicBranches holds the settings of workspaces and services.
	TopicBranches Topic = "branches"
	// TopicInstances holds the list of live and leaving instances.
	TopicInstances Topic = "instances"
)

// Topics lists all topics in the order in which a new process needs them.
var Topics = []Topic{TopicCore, TopicInstances, TopicBranches}

// PrevUnknown is the Prev of an item whose predecessor is unknown.
const PrevUnknown = -1

// Item is the latest value of a key of a topic.
type Item struct {
	Topic Topic  `json:"t"`
	Key   string `json:"k"`
	// Rev is the platform's revision of the change; it orders the topic.
	Rev int64 `json:"r"`
	// Prev is the revision before Rev in the topic, or PrevUnknown.
	Prev  int64  `json:"p,omitempty"`
	Value string `json:"v,omitempty"`
	// Gone is true if the key was deleted.
	Gone bool `json:"x,omitempty"`
	// LastGood is the last valid value and LastGoodRev its revision, if Value is not
	// valid.
	LastGood    string `json:"g,omitempty"`
	LastGoodRev int64  `json:"q,omitempty"`
}

// Hello answers the first call on a connection.
type Hello struct {
	// BootID is random for each start of a process. It shows a caller whether the other
	// side has lost its memory.
	BootID uint64 `json:"b"`
}

// Fetch requests single items from a peer, by key.
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

// Exchange sends a peer the sender's revisions and requests the items that it lacks.
type Exchange struct {
	From string `json:"f"`
	// Revs is the revision up to which the sender has each topic that it holds.
	Revs map[Topic]int64 `json:"r"`
	// PlatformAge is the time since the platform last answered any process.
	PlatformAge clock.Millis `json:"a"`
	Loads       []Load       `json:"l,omitempty"`
	// Leaving are instances that reported that they are leaving.
	Leaving []string `json:"x,omitempty"`
	// LastGoodRevs holds the last valid revisions of keys whose value is not valid.
	LastGoodRevs map[string]int64 `json:"g,omitempty"`
}

// Exchanged answers Exchange.
type Exchanged struct {
	Items []Item `json:"i,omitempty"`
	// Upto is the revision that the requester has after Items, by topic.
	Upto        map[Topic]int64 `json:"u,omitempty"`
	Revs        map[Topic]int64 `json:"r"`
	PlatformAge clock.Millis    `json:"a"`
	Loads       []Load          `json:"l,omitempty"`
	Leaving     []string        `json:"x,omitempty"`
}

// Push sends new items to a peer as soon as they are known.
type Push struct {
	From    string   `json:"f"`
	Items   []Item   `json:"i,omitempty"`
	Leaving []string `json:"x,omitempty"`
}
