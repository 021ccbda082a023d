package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"turmericroute/config"
)

// Role says what a token allows.
type Role string

// The roles of tokens.
const (
	// RoleOperator allows everything.
	RoleOperator Role = "operator"
	// RoleTeam allows jobs and requests of one team.
	RoleTeam Role = "team"
	// RoleWorker allows the polls of one worker.
	RoleWorker Role = "worker"
	// RoleUpstream allows announcements and departures of one upstream.
	RoleUpstream Role = "upstream"
)

// Identity is who holds a token.
type Identity struct {
	// Name identifies the token in the audit log.
	Name string `yaml:"name" json:"name"`
	Role Role   `yaml:"role" json:"role"`
	// Subject is the team, worker or upstream that the token speaks for; empty for operators.
	Subject string `yaml:"subject,omitempty" json:"subject,omitempty"`
}

// Entry is one token in a tokens file.
type Entry struct {
	Name    string `yaml:"name"`
	Role    Role   `yaml:"role"`
	Subject string `yaml:"subject,omitempty"`
	// SHA256 is the hash of the secret in hexadecimal. Secrets are random and of
	// 256 bits, so a plain hash cannot be reversed by guessing.
	SHA256 string `yaml:"sha256"`
}

// File is the content of a tokens file.
type File struct {
	Tokens []Entry `yaml:"tokens"`
}

// secretPrefix makes secrets recognisable, so that scanners find leaked ones.
const secretPrefix = "trk_"

// NewSecret returns a new secret and its hash.
func NewSecret() (secret, hash string) {
	// One text holds at least 128 random bits.
	secret = secretPrefix + rand.Text() + rand.Text()
	return secret, HashOf(secret)
}

// HashOf returns the hash of a secret as it is kept in a tokens file.
func HashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Validate returns all faults of the file.
func (f File) Validate() []config.Fault {
	var faults config.Faults
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, e := range f.Tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		faults.CheckName(key+".name", e.Name)
		if names[e.Name] {
			faults.Add(key+".name", "%q occurs twice", e.Name)
		}
		names[e.Name] = true
		e.checkRole(&faults, key)
		if b, err := hex.DecodeString(e.SHA256); err != nil || len(b) != sha256.Size || strings.ToLower(e.SHA256) != e.SHA256 {
			faults.Add(key+".sha256", "is no SHA-256 hash of 64 lower-case hexadecimal digits")
		}
		if hashes[e.SHA256] {
			faults.Add(key+".sha256", "occurs twice")
		}
		hashes[e.SHA256] = true
	}
	return faults
}

func (e Entry) checkRole(faults *config.Faults, key string) {
	roles := []Role{RoleOperator, RoleTeam, RoleWorker, RoleUpstream}
	switch {
	case !slices.Contains(roles, e.Role):
		faults.Add(key+".role", "is %q, must be operator, team, worker or upstream", e.Role)
	case e.Role == RoleOperator && e.Subject != "":
		faults.Add(key+".subject", "is set, but operators speak for no one else")
	case e.Role != RoleOperator:
		faults.CheckName(key+".subject", e.Subject)
	}
}

// Tokens knows the tokens of a file.
type Tokens struct {
	file *watched[map[string]known]
}

type known struct {
	hash string
	id   Identity
}

// ReadTokens reads a tokens file and returns all its faults.
func ReadTokens(path string, how Watch) (*Tokens, []config.Fault, error) {
	if _, faults, err := loadTokens(path); err != nil || len(faults) > 0 {
		return nil, faults, err
	}
	load := func() (map[string]known, error) {
		m, faults, err := loadTokens(path)
		if err == nil && len(faults) > 0 {
			err = errors.New(faults[0].String())
		}
		return m, err
	}
	w, err := newWatched([]string{path}, load, how)
	if err != nil {
		return nil, nil, fmt.Errorf("watch tokens: %w", err)
	}
	return &Tokens{file: w}, nil, nil
}

func loadTokens(path string) (map[string]known, []config.Fault, error) {
	var f File
	doc, faults, err := config.ReadYAML(path, &f)
	if err != nil {
		return nil, nil, fmt.Errorf("read tokens: %w", err)
	}
	if len(faults) == 0 {
		faults = doc.Locate(f.Validate())
	}
	m := make(map[string]known, len(f.Tokens))
	for _, e := range f.Tokens {
		m[e.SHA256] = known{hash: e.SHA256, id: Identity{Name: e.Name, Role: e.Role, Subject: e.Subject}}
	}
	return m, faults, nil
}

// Identify returns whose secret it is. The look-up goes by the hash, whose
// bytes a caller cannot choose, so its time tells nothing about the secrets
// kept; the comparison that decides takes constant time.
func (t *Tokens) Identify(secret string) (Identity, bool) {
	hash := HashOf(secret)
	k, ok := t.file.get()[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(k.hash), []byte(hash)) != 1 {
		return Identity{}, false
	}
	return k.id, true
}
