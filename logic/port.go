package logic

// Micros is a time or a span in whole microseconds on the caller's clock.
type Micros int64

type (
	TransactionID string // as the client's side named it
	WorkerID      string // opaque; stays the same over a restart
	Key           string // subject of a transaction, empty if it has none
	BuildID       int    // a later build has a higher number
	ProfileID     int    // index into StandingOrders.Profiles
	AccountID     int    // index into StandingOrders.Accounts, or NoAccount
	ZoneID        int    // index into the deployment's zones
	SentryID      int    // position of a sentry in its tier
)

const (
	NoAccount   AccountID = -1
	EverySentry SentryID  = -1
)

// Repeat says whether a transaction may run again.
type Repeatability int

const (
	Idempotent Repeatability = iota
	Deduplicated
	NonIdempotent
)

// Scope is the group of workers that drops the repeats of a labelled transaction.
type DedupScope int

const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Control is how the votes move a build.
type Control int

const (
	ControlAny Control = iota
	ControlShare
	ControlTimer
)

// Profile is what the orders say of one kind of transaction.
type Profile struct {
	DueTime        Micros
	MaxDeadline    Micros
	Value          float64
	LateValueShare float64
	Repeatability  Repeatability
	DedupScope     DedupScope
	DedupWindow    Micros // how long repeats of a labelled one are dropped
	Streamed       bool
}

// Account is a customer's share and its quota, in transactions a second over all sentries.
type Account struct {
	Share float64
	Quota float64
}

// StandingOrders is what a sentry is told once, at its start.
type Config struct {
	Sentries int
	Position SentryID
	Zone     ZoneID
	Profiles []Profile
	Accounts []Account

	// The list of workers.
	ListOnRequest bool   // it comes only when asked for
	MaxListAge    Micros // a sentry that follows nothing is held to know what was listed this long ago
	// A change counts as told so long after discovery had it, whether or not it arrived; 0: only once it has been told.
	ListChangeDelay Micros

	// What is allowed.
	MayProbe, MayCancel, MayHedge, MayMessage, MayNameRetryAfter bool
	MaxHandOffs                                                  int
	MaxRetryAfter                                                Micros
	ConnectTimeout                                               Micros
	IdleTimeout                                                  Micros // a connection that nothing uses is closed after this, 0 if it stays
	TimerGranularity                                             Micros

	// Figures of the rules.
	AnswerGrace      Micros
	DrainGrace       Micros
	ColdCapacity     float64
	WarmUp           Micros
	ColdLoadMultiple float64
	ColdLoadWindow   Micros

	// Builds on trial.
	Control            Control
	EarlierWorkersStay bool // the earlier workers stay until the release
	StageShares        []float64
	StageCaps          []float64
	FreeExposure       float64
	ExposureWindow     Micros
	ExposureByProfile  bool
	GuardedStages      int
	ForwardOnly        bool
	AdvanceVotes       int
	HoldVotes          int
	RollBackVotes      int
	VoteTTL            Micros
	VoteTimeout        Micros
	VotesPerSecond     float64
	BakeTime           Micros
	ComplaintShare     float64
	CountsPeriod       Micros  // the platform's counts come so often, 0 if never
	CountsSampleShare  float64 // of all hand-offs that they count

	// Prices, as shares of the whole value.
	StaleBuildPrice, HarmPrice, CrossZonePrice, WastePrice float64
	OverShareValue                                         float64
}

// WorkerState is what the list says of a worker.
type WorkerState int

const (
	Ready WorkerState = iota
	Draining
	Gone
)

// Worker is one line of the list.
type Worker struct {
	ID      WorkerID
	Build   BuildID
	Zone    ZoneID
	Cell    int
	Size    float64 // for comparison with other workers only
	Started Micros  // 0: long ago
	State   WorkerState
}

// ListKind says how a list of workers is to be read.
type ListKind int

const (
	FullList ListKind = iota
	ListDelta
	CachedList // whole, as held before the sentry's start, maybe old
)

// Transaction is what a client asks for.
type Transaction struct {
	ID           TransactionID
	Profile      ProfileID
	Account      AccountID
	Key          Key
	Deadline     Micros // the client gives this try up then
	ExpectedWork Micros // expected work, 0 if not known
	IsRetry      bool   // the client marked it as a repeat
}

// Ending is how a hand-off ended.
type Ending int

const (
	Answered    Ending = iota
	Errored            // the worker answered with an error; may have run
	TurnedAway         // proven not to have run
	TimedOut           // may have run, may still run
	Unconnected        // proven not to have run
	Broken             // the connection broke; may have run
	Cancelled          // may have run
	Unsent             // proven not to have run
	Unreadable         // an answer came, or began to, that can't be read: it has run
)

// Load is what a worker reports of its load; a figure that it does not tell is below 0.
type Load struct {
	InFlight        float64 // transactions
	BusyShare       float64 // share of its cores
	ServedPerSecond float64 // transactions a second
}

// NoLoad is the report of a worker that tells nothing.
var NoLoad = Load{InFlight: -1, BusyShare: -1, ServedPerSecond: -1}

// HandOffEnd tells the end of one hand-off.
type HandOffEnd struct {
	Transaction       TransactionID
	HandOffNumber     int
	Worker            WorkerID
	Ending            Ending
	Duration          Micros
	TransactionClosed bool   // the transaction has its final answer
	ConnectionOpened  Micros // when the connection that carried it had come up, 0 if that is not told
	Load              Load
}

// Phase is where the newest build stands.
type Phase int

const (
	OnTrial Phase = iota
	RollingBack
	Released
	Withdrawn
)

// VoteFate is what became of a vote.
type VoteResult int

const (
	NoVote VoteResult = iota // news that answers no vote
	VoteAccepted
	VoteObsolete
	VoteRefused
	VoteTimedOut
)

// News is where the newest build stands, as the platform told it. Unless Valid, only Fate counts.
type ReleaseStatus struct {
	Valid      bool
	Build      BuildID
	Stage      int
	Phase      Phase
	Cap        float64
	Age        Micros
	VoteResult VoteResult
}

// Complaint says that a client found an answer wrong.
type Complaint struct {
	Profile ProfileID
	Worker  WorkerID
	Age     Micros // since that hand-off was sent
}

// Counts is what the platform counted of one build and profile, in a sample of all hand-offs over a past period.
// All sentries are told the same.
type BuildCounts struct {
	Build        BuildID
	Profile      ProfileID
	HandOffs     int
	Failed       int    // not answered, for whatever reason
	MeanDuration Micros // time of the others
	Age          Micros // since the period ended
}

// RulingKind is what is to be done about a transaction.
type ActionKind int

const (
	HandOff ActionKind = iota
	CancelHandOff
	Defer
	WriteOff
)

// Ruling is one act on one transaction. Rulings are carried out in order.
type Action struct {
	Kind          ActionKind
	Transaction   TransactionID
	Worker        WorkerID // HandOff
	Deadline      Micros   // HandOff: given up then
	SendBy        Micros   // HandOff: not to be written later, 0 if there is no such limit
	HandOffNumber int      // CancelHandOff: which one, from 0
	RetryAfter    Micros   // Defer: how long the client should stay away, 0 if not said
}

// Verdict is what a vote stands for.
type Verdict int

const (
	NoVerdict Verdict = iota
	Advance
	Hold
	RollBack
)

// Vote is a sentry's vote on a build at a stage.
type Vote struct {
	Build   BuildID
	Stage   int
	Verdict Verdict
}

// Message goes to one sentry of the tier or, with EverySentry, to all others.
type Message struct {
	To   SentryID
	Body []byte
}

// Result is what a call wants done. WakeAt asks for a Wake call then; 0 asks for none; a later call may name
// an earlier time and a Wake that comes unasked does no harm.
type Result struct {
	Actions   []Action
	Votes     []Vote
	WatchList bool // subscribe to changes of the list
	FetchList bool // ask for the whole list once
	Probes    []WorkerID
	Messages  []Message
	LogLines  []string
	WakeAt    Micros
}
