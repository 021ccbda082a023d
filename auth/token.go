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

// Role determines what a token allows.
type Role string

// Roles of tokens.
const (
	// RoleOperator allows everything.
	RoleOperator Role = "operator"
	// RoleTeam allows the jobs and requests of one team.
	RoleTeam Role = "team"
	// RoleWorker allows the polls of one worker.
	RoleWorker Role = "worker"
	// RoleUpstream allows one upstream to announce itself and to leave.
	RoleUpstream Role = "upstream"
)

// Identity is the authenticated holder of a token.
type Identity struct {
	// Name identifies the token in the audit log.
	Name string `yaml:"name" json:"name"`
	Role Role   `yaml:"role" json:"role"`
	// Subject is the team, worker or upstream that the token belongs to; empty for operators.
	Subject string `yaml:"subject,omitempty" json:"subject,omitempty"`
}

// TokenEntry is one token in a tokens file.
type TokenEntry struct {
	Name    string `yaml:"name"`
	Role    Role   `yaml:"role"`
	Subject string `yaml:"subject,omitempty"`
	// SHA256 is the hash of the secret in hexadecimal. Secrets are random and have
	// 256 bits, so they cannot be guessed from an unsalted hash.
	SHA256 string `yaml:"sha256"`
}

// TokensFile is the content of a tokens file.
type TokensFile struct {
	Tokens []TokenEntry `yaml:"tokens"`
}

// secretPrefix lets secret scanners recognise leaked secrets.
const secretPrefix = "trk_"

// NewSecret returns a new secret and its hash.
func NewSecret() (secret, hash string) {
	// rand.Text returns at least 128 random bits.
	secret = secretPrefix + rand.Text() + rand.Text()
	return secret, HashSecret(secret)
}

// HashSecret returns the hash of a secret as stored in a tokens file.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Validate returns all faults of the tokens.
func (f TokensFile) Validate() []config.Fault {
	var faults config.Faults
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, token := range f.Tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		faults.CheckName(key+".name", token.Name)
		if names[token.Name] {
			faults.Add(key+".name", "%q occurs twice", token.Name)
		}
		names[token.Name] = true
		token.checkRole(&faults, key)
		if b, err := hex.DecodeString(token.SHA256); err != nil || len(b) != sha256.Size || strings.ToLower(token.SHA256) != token.SHA256 {
			faults.Add(key+".sha256", "is not a SHA-256 hash of 64 lower-case hexadecimal digits")
		}
		if hashes[token.SHA256] {
			faults.Add(key+".sha256", "occurs twice")
		}
		hashes[token.SHA256] = true
	}
	return faults
}

func (e TokenEntry) checkRole(faults *config.Faults, key string) {
	roles := []Role{RoleOperator, RoleTeam, RoleWorker, RoleUpstream}
	switch {
	case !slices.Contains(roles, e.Role):
		faults.Add(key+".role", "is %q, must be operator, team, worker or upstream", e.Role)
	case e.Role == RoleOperator && e.Subject != "":
		faults.Add(key+".subject", "is set, but operator tokens have no subject")
	case e.Role != RoleOperator:
		faults.CheckName(key+".subject", e.Subject)
	}
}

// Tokens identifies callers by the tokens of a file.
type Tokens struct {
	reloader *reloader[map[string]tokenRecord]
}

type tokenRecord struct {
	hash string
	id   Identity
}

// ReadTokens reads a tokens file, which is reloaded when it changes. It returns all faults of an invalid file.
func ReadTokens(path string, opts ReloadOptions) (*Tokens, []config.Fault, error) {
	if _, faults, err := loadTokens(path); err != nil || len(faults) > 0 {
		return nil, faults, err
	}
	load := func() (map[string]tokenRecord, error) {
		records, faults, err := loadTokens(path)
		if err == nil && len(faults) > 0 {
			err = errors.New(faults[0].String())
		}
		return records, err
	}
	r, err := newReloader([]string{path}, load, opts)
	if err != nil {
		return nil, nil, fmt.Errorf("load tokens: %w", err)
	}
	return &Tokens{reloader: r}, nil, nil
}

func loadTokens(path string) (map[string]tokenRecord, []config.Fault, error) {
	var file TokensFile
	doc, faults, err := config.ReadYAML(path, &file)
	if err != nil {
		return nil, nil, fmt.Errorf("read tokens: %w", err)
	}
	if len(faults) == 0 {
		faults = doc.Locate(file.Validate())
	}
	records := make(map[string]tokenRecord, len(file.Tokens))
	for _, token := range file.Tokens {
		records[token.SHA256] = tokenRecord{hash: token.SHA256, id: Identity{Name: token.Name, Role: token.Role, Subject: token.Subject}}
	}
	return records, faults, nil
}

// Identify returns the identity that a secret belongs to; false when it is unknown.
// The look-up is by hash, whose bytes a caller cannot choose, so its duration reveals
// nothing about stored secrets; the final comparison takes constant time.
func (t *Tokens) Identify(secret string) (Identity, bool) {
	hash := HashSecret(secret)
	record, ok := t.reloader.get()[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(record.hash), []byte(hash)) != 1 {
		return Identity{}, false
	}
	return record.id, true
}
