package model

import "time"

// DefaultHealthPath is the health path of executors that announce none.
const DefaultHealthPath = "/healthz"

// Upstream is an announced executor of a service.
type Upstream struct {
	Name string `json:"name"`
	// Incarnation increases at each start of the executor; a departure applies to its
	// incarnation and all lower ones.
	Incarnation uint64 `json:"incarnation"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	// Address is the host:port of the executor's HTTP listener.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// HealthPath is the path that answers GET requests with status 200 while the executor
	// is healthy; empty means DefaultHealthPath.
	HealthPath string `json:"health_path,omitempty"`
	// Left reports whether this incarnation has announced its departure.
	Left bool `json:"left,omitempty"`
}

// KeyLife is how long an idempotency key is kept after its first claim, by the leader's clock.
const KeyLife = 24 * time.Hour

// KeyState is the state of an idempotency key.
type KeyState string

// The states of an idempotency key.
const (
	KeyClaimed KeyState = "claimed"
	KeyDone    KeyState = "done"
	KeyNotRun  KeyState = "not_run"
	KeyUnknown KeyState = "unknown"
)

// KeyID identifies an idempotency key of a team.
type KeyID struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Key is the record of an idempotency key, which identifies one non-idempotent request.
type Key struct {
	ID KeyID `json:"id"`
	// Claim is the unique ID of the claim that holds the key.
	Claim string `json:"claim"`
	// Hash is the SHA-256 of method, path, query and body in hexadecimal.
	Hash  string   `json:"hash"`
	Entry string   `json:"entry"`
	State KeyState `json:"state"`
	// CreatedMS and DeadlineMS are Unix times in milliseconds by the leader's clock.
	CreatedMS  int64 `json:"created_ms"`
	DeadlineMS int64 `json:"deadline_ms"`
	// Answer is set if State is KeyDone.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a recorded response of an upstream.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Truncated reports whether the body was dropped because it exceeds a limit on recorded bodies.
	Truncated bool `json:"truncated,omitempty"`
}
