package consul

// An Entry is a key with its value as encoded by Consul's KV endpoint.
type Entry struct {
	Key         string
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	LockIndex   uint64
	Flags       uint64
	Session     string `json:",omitempty"`
}

// Verbs of KV operations in a transaction.
const (
	VerbCAS            = "cas"
	VerbDelete         = "delete"
	VerbCheckIndex     = "check-index"
	VerbCheckNotExists = "check-not-exists"
)

// A KVOperation is one KV operation in a transaction.
type KVOperation struct {
	Verb  string
	Key   string
	Value []byte `json:",omitempty"`
	Index uint64 `json:",omitempty"`
}

// A TxnOperation is one operation of a transaction.
type TxnOperation struct {
	KV *KVOperation
}

// A TxnResponse is the response to a transaction.
type TxnResponse struct {
	Results []TxnResult
	Errors  []TxnError
}

// A TxnResult is the result of one operation.
type TxnResult struct {
	KV *Entry
}

// A TxnError is the index of a failed operation and the reason.
type TxnError struct {
	OpIndex int
	What    string
}

// A SessionRequest is the request to create a session.
type SessionRequest struct {
	TTL        string
	LockDelay  string
	Behavior   string
	NodeChecks []string
}

// A SessionResponse contains the ID of a session.
type SessionResponse struct {
	ID string
}
