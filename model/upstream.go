package model

import "time"

// DefaultHealthPath is probed on executors that announce no health path.
const DefaultHealthPath = "/healthz"

// Upstream is one announced executor of a service.
type Upstream struct {
	Name string `json:"name"`
	// Incarnation changes at each start and increases; a departure applies to its incarnation and all lower ones.
	Incarnation uint64 `json:"incarnation"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	// Address is host:port of the executor's HTTP listener.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// HealthPath answers GET with 200 while the executor works; empty means DefaultHealthPath.
	HealthPath string `json:"health_path,omitempty"`
	// Left reports that this incarnation has announced its departure.
	Left bool `json:"left,omitempty"`
}

// KeyLife is how long an idempotency key is kept from its first claim, by the leader's clock.
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

// KeyID names an idempotency key of a team.
type KeyID struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Key is the record of one non-idempotent request.
type Key struct {
	ID KeyID `json:"id"`
	// Claim is the unique ID of the attempt that holds the claim.
	Claim string `json:"claim"`
	// Hash is the SHA-256 of method, path, query and body in hexadecimal.
	Hash  string   `json:"hash"`
	Entry string   `json:"entry"`
	State KeyState `json:"state"`
	// CreatedMS and DeadlineMS are unix times in milliseconds by the leader's clock.
	CreatedMS  int64 `json:"created_ms"`
	DeadlineMS int64 `json:"deadline_ms"`
	// Answer is set when State is KeyDone.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a recorded upstream answer.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Truncated reports that the body was over the recording limit and is not kept.
	Truncated bool `json:"truncated,omitempty"`
}
