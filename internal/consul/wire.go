package consul

// An Entry is a key with its value as Consul's KV interface writes it.
type Entry struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

// The verbs of operations in a transaction.
const (
	VerbCAS            = "cas"
	VerbDelete         = "delete"
	VerbCheckIndex     = "check-index"
	VerbCheckNotExists = "check-not-exists"
)

// An KVOperation is one KV operation in a transaction.
type KVOperation struct {
	Verb  string
	Key   string
	Value []byte `json:",omitempty"`
	Index uint64 `json:",omitempty"`
}

// A TxnOperation wraps an operation of a transaction.
type TxnOperation struct {
	KV *KVOperation
}

// A TxnResponse is the answer to a transaction.
type TxnResponse struct {
	Results []TxnResult
	Errors  []TxnError
}

// A TxnResult is what one operation returned.
type TxnResult struct {
	KV *Entry
}

// A TxnError says which operation failed and why.
type TxnError struct {
	OpIndex int
	What    string
}

// A SessionRequest asks for a session.
type SessionRequest struct {
	TTL        string
	LockDelay  string
	Behavior   string
	NodeChecks []string
}

// A SessionResponse names a session.
type SessionResponse struct {
	ID string
}
