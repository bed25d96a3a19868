package logic

// Micros is a point in time or a duration, in whole microseconds on the caller's clock.
type Micros int64

type (
	// TransactionID is the identifier that the client's side gave the transaction.
	TransactionID string
	// WorkerID is an opaque identifier of a worker, which keeps it over a restart.
	WorkerID string
	// Key is the subject of a transaction, empty if it has none.
	Key string
	// BuildID is the number of a build. A later build has a higher number.
	BuildID int
	// ProfileID is an index into Config.Profiles.
	ProfileID int
	// AccountID is an index into Config.Accounts, or NoAccount.
	AccountID int
	// ZoneID is an index into the deployment's zones.
	ZoneID int
	// SentryID is the position of a sentry in its tier, from 0.
	SentryID int
	// ClientID identifies a client's connection, or is NoClient.
	ClientID uint64
)

const (
	// NoClient is the client of a transaction whose connection is not known.
	NoClient ClientID = 0
	// NoAccount is the account of a transaction that belongs to none.
	NoAccount AccountID = -1
	// EverySentry addresses a Message to all other sentries of the tier.
	EverySentry SentryID = -1
)

// Repeatability says whether a transaction may run more than once.
type Repeatability int

const (
	// Idempotent transactions may run any number of times.
	Idempotent Repeatability = iota
	// Deduplicated transactions carry a deduplication token, by which workers drop retries in a DedupScope for a
	// DedupWindow.
	Deduplicated
	// NonIdempotent transactions must not be sent again once a hand-off may have run.
	NonIdempotent
)

// DedupScope is the group of workers among which retries of a deduplicated transaction are dropped.
type DedupScope int

const (
	// ScopeAll is all workers.
	ScopeAll DedupScope = iota
	// ScopeZone is the workers of one zone.
	ScopeZone
	// ScopeCell is the workers of one cell.
	ScopeCell
)

// Control is how the platform turns votes into a move of the build on trial.
type Control int

const (
	// ControlAny advances a build after BakeTime once AdvanceVotes sentries vote for it.
	ControlAny Control = iota
	// ControlShare also needs AdvanceVotes sentries. A sentry decides the same as with ControlAny.
	ControlShare
	// ControlTimer advances a build after BakeTime unless HoldVotes sentries vote to hold it.
	ControlTimer
)

// Profile is the configuration of one kind of transaction.
type Profile struct {
	DueTime        Micros        // from arrival; an answer within it has the full Value
	MaxDeadline    Micros        // longest time from arrival to the deadline of a transaction
	Value          float64       // of an answer in due time, in units common to all profiles
	LateValueShare float64       // part of Value that a later answer still has, 0 to 1
	Repeatability  Repeatability // whether it may run more than once
	DedupScope     DedupScope    // Deduplicated only
	DedupWindow    Micros        // Deduplicated only: workers drop retries for this long
	Streamed       bool          // the answer is streamed to the client
}

// Account is the part of the service that a customer is entitled to.
type Account struct {
	Share float64 // part of all transactions, 0 to 1
	Quota float64 // transactions per second over all sentries
}

// Config is the configuration of a sentry's decisions. Sentry.Reconfigure replaces it.
//
// No decision uses Accounts, MayProbe, AnswerGrace, StageShares, VoteTimeout, VotesPerSecond, BakeTime, ComplaintShare,
// StaleBuildPrice, HarmPrice, WastePrice or OverShareValue: the caller uses some of these, and the others only describe
// the deployment.
type Config struct {
	Sentries int       // number of sentries in the tier
	Position SentryID  // of this sentry
	Zone     ZoneID    // of this sentry
	Profiles []Profile // by ProfileID
	Accounts []Account // by AccountID

	// The worker list.
	ListOnRequest bool   // discovery sends the list only on request; otherwise it pushes changes
	MaxListAge    Micros // without a watch, what discovery listed this long ago counts as known to the sentry
	// ListChangeDelay is the time after which a change that discovery has counts as known to the sentry, whether or not
	// it arrived. 0: a change counts as known only once it has been received.
	ListChangeDelay Micros

	// What the sentry may do: probe workers, cancel hand-offs, send hedged hand-offs, exchange messages with other
	// sentries, and name a time after which a client should retry.
	MayProbe, MayCancel, MayHedge, MayMessage, MayNameRetryAfter bool
	MaxHandOffs                                                  int    // per transaction, the first included
	MaxRetryAfter                                                Micros // longest time that a deferral may name
	MaxOpenHandOffs                                              int    // that the caller can have open at a time; 0: no limit
	ConnectTimeout                                               Micros // for a connection to a worker
	IdleTimeout                                                  Micros // an unused connection is closed after it; 0: never
	TimerGranularity                                             Micros // precision of the caller's timers

	// Parameters of the rules.
	AnswerGrace      Micros  // the final answer is sent at most this long after the transaction's deadline
	DrainGrace       Micros  // hand-offs to a draining or gone worker are allowed this long after the change is known
	ColdCapacity     float64 // capacity of a worker that has just started, as a part of its full capacity, 0 to 1
	WarmUp           Micros  // from the start of a worker to its full capacity
	ColdLoadMultiple float64 // bound on the load of a cold worker, as a multiple of its part by size and warm-up
	ColdLoadWindow   Micros  // over which that load is counted

	// Builds on trial.
	Control            Control   // how votes move the build
	EarlierWorkersStay bool      // workers of the earlier build run until the release
	StageShares        []float64 // part of the workers that runs the trial build, by stage, 0 to 1
	StageCaps          []float64 // largest part of the transactions that the trial may get, by stage, 0 to 1
	FreeExposure       float64   // hand-offs to the trial per ExposureWindow allowed beyond the cap
	ExposureWindow     Micros    // over which hand-offs to the trial are counted
	ExposureByProfile  bool      // the bound on exposure holds for each profile, otherwise for all together
	GuardedStages      int       // in this many first stages the trial gets idempotent transactions only
	ForwardOnly        bool      // a key that the trial may have answered does not go to an earlier build again
	AdvanceVotes       int       // votes that advance the build
	HoldVotes          int       // votes that hold the build under ControlTimer
	RollBackVotes      int       // votes that roll the build back
	VoteTTL            Micros    // how long a vote counts
	VoteTimeout        Micros    // how long the sentry waits for the answer to a vote
	VotesPerSecond     float64   // that the platform accepts from all sentries
	BakeTime           Micros    // shortest time at a stage once its share of the workers runs the build
	ComplaintShare     float64   // part of the wrong answers that clients complain about, 0 to 1
	CountsPeriod       Micros    // between the platform's counts, 0 if it sends none
	CountsSampleShare  float64   // part of all hand-offs that these counts cover, 0 to 1

	// Prices as parts of a transaction's full Value: of staying on the earlier build, of harm that a build does, of
	// a hand-off to another zone, and of wasted work.
	StaleBuildPrice, HarmPrice, CrossZonePrice, WastePrice float64
	OverShareValue                                         float64 // part of Value for transactions beyond the account's Share, 0 to 1
}

// WorkerState is the state of a worker by the list.
type WorkerState int

const (
	// Ready workers take hand-offs.
	Ready WorkerState = iota
	// Draining workers finish what they have and take nothing new.
	Draining
	// Gone workers no longer run.
	Gone
)

// Worker is one entry of the list.
type Worker struct {
	ID      WorkerID
	Build   BuildID
	Zone    ZoneID
	Cell    int
	Size    float64 // capacity, comparable only with that of other workers
	Started Micros  // 0: long ago
	State   WorkerState
}

// ListKind says what a received list contains.
type ListKind int

const (
	// FullList names all workers. A worker that it does not name is gone.
	FullList ListKind = iota
	// ListDelta names the workers that have changed.
	ListDelta
	// CachedList is a full list of unknown age, kept from before the sentry's start.
	CachedList
)

// Transaction is a request of a client.
type Transaction struct {
	ID           TransactionID
	Profile      ProfileID
	Account      AccountID
	Key          Key
	Deadline     Micros // the client stops waiting for this try then
	ExpectedWork Micros // 0 if not known
	IsRetry      bool   // the client marked it as a retry
	Client       ClientID
}

// Ending is how a hand-off ended.
type Ending int

const (
	// Answered: the worker has run the transaction and answered it.
	Answered Ending = iota
	// Errored: the worker answered with an error. It may have run the transaction.
	Errored
	// TurnedAway: the worker refused the transaction. It has not run.
	TurnedAway
	// TimedOut: no answer came in time. The transaction may have run and may still run.
	TimedOut
	// Unconnected: no connection could be opened. The transaction has not run.
	Unconnected
	// Broken: the connection failed. The transaction may have run.
	Broken
	// Cancelled: the sentry cancelled the hand-off. The transaction may have run.
	Cancelled
	// Unsent: the hand-off was never written to a connection. The transaction has not run.
	Unsent
	// Unreadable: an answer came, in whole or in part, and cannot be read. The transaction has run.
	Unreadable
)

// Load is the load that a worker reports. A figure that it does not report is below 0.
type Load struct {
	InFlight        float64 // transactions that it has
	BusyShare       float64 // part of its cores that is busy, 0 to 1
	ServedPerSecond float64 // transactions per second
}

// NoLoad is the load of a worker that reports none.
var NoLoad = Load{InFlight: -1, BusyShare: -1, ServedPerSecond: -1}

// HandOffEnd is the end of one hand-off.
type HandOffEnd struct {
	Transaction       TransactionID
	HandOffNumber     int // among the hand-offs of the transaction, from 0
	Worker            WorkerID
	Ending            Ending
	Duration          Micros // from the hand-off to its end
	TransactionClosed bool   // the transaction has its final answer
	ConnectionOpened  Micros // when the connection that carried it was opened, 0 if not known
	Load              Load
}

// Phase is the phase of the newest build's release.
type Phase int

const (
	// OnTrial: the build gets a part of the traffic, up to its cap.
	OnTrial Phase = iota
	// RollingBack: the build is being replaced by the earlier one.
	RollingBack
	// Released: the build gets all traffic.
	Released
	// Withdrawn: the roll-back has ended.
	Withdrawn
)

// VoteResult is the platform's answer to a vote.
type VoteResult int

const (
	// NoVote marks a release status that answers no vote.
	NoVote VoteResult = iota
	// VoteAccepted: the vote counts.
	VoteAccepted
	// VoteObsolete: the vote is for a build or stage that is no longer current.
	VoteObsolete
	// VoteRefused: the platform refused the vote, or it could not be sent.
	VoteRefused
	// VoteTimedOut: no answer came within Config.VoteTimeout.
	VoteTimedOut
)

// ReleaseStatus is the state of the newest build's release as the platform reported it. Unless Valid, only
// VoteResult has a meaning.
type ReleaseStatus struct {
	Valid      bool
	Build      BuildID
	Stage      int // index into Config.StageCaps and Config.StageShares
	Phase      Phase
	Cap        float64 // largest part of the transactions that the build may get, 0 to 1
	Age        Micros  // since the platform reached this state
	VoteResult VoteResult
}

// Complaint is a client's report of a wrong answer.
type Complaint struct {
	Profile ProfileID
	Worker  WorkerID
	Age     Micros // since that hand-off was sent
}

// BuildCounts are the platform's counts for one build and profile, in a sample of all hand-offs over a past period.
// All sentries receive the same counts.
type BuildCounts struct {
	Build        BuildID
	Profile      ProfileID
	HandOffs     int
	Failed       int    // not answered, for whatever reason
	MeanDuration Micros // of the answered ones
	Age          Micros // since the period ended
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// HandOff sends the transaction to a worker.
	HandOff ActionKind = iota
	// CancelHandOff cancels one hand-off of the transaction.
	CancelHandOff
	// Defer answers that the transaction was deferred and may be retried.
	Defer
	// WriteOff answers that the transaction has failed.
	WriteOff
)

// Action is one thing to do about one transaction. Actions are carried out in order.
type Action struct {
	Kind        ActionKind
	Transaction TransactionID
	Worker      WorkerID // HandOff
	Deadline    Micros   // HandOff: the sentry stops waiting for an answer then
	// HandOff: it must not be written later, by the lease on the worker list and by the deduplication window of an earlier
	// hand-off that may have run; 0 if there is no such limit.
	SendBy        Micros
	HandOffNumber int    // CancelHandOff: among the hand-offs of the transaction, from 0
	RetryAfter    Micros // Defer: how long the client should wait before it retries, 0 if not stated
}

// Verdict is what a sentry votes for.
type Verdict int

const (
	// NoVerdict is no vote.
	NoVerdict Verdict = iota
	// Advance votes to move the build to its next stage.
	Advance
	// Hold votes to keep the build at its stage.
	Hold
	// RollBack votes to replace the build by the earlier one.
	RollBack
)

// Vote is a sentry's vote on a build at a stage.
type Vote struct {
	Build   BuildID
	Stage   int
	Verdict Verdict
}

// Message is a message to one sentry of the tier or, with EverySentry, to all others.
type Message struct {
	To   SentryID
	Body []byte
}

// Result is what the caller has to do after a call.
type Result struct {
	Actions   []Action
	Votes     []Vote
	WatchList bool       // subscribe to changes of the list
	FetchList bool       // request the whole list once; no decision asks for it
	Probes    []WorkerID // workers to probe; no decision asks for probes
	Messages  []Message
	LogLines  []string
	Withhold  bool // of HandOffConnected: the hand-off must not be written
	// WakeAt is when to call Sentry.Wake, 0 if no call is needed. A later call may return an earlier time. Calls of
	// Wake at other times do no harm.
	WakeAt Micros
}
