package auth

import (
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"turmericroute/config"
)

// FaultsError lists the faults of a tokens file.
type FaultsError struct{ Faults []config.Fault }

// Error returns the number of faults and the first one.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("%d faults in the tokens, first: %s", len(e.Faults), e.Faults[0])
}

// AddToken adds a token to a tokens file; it returns a FaultsError when the result is
// invalid. The file is replaced atomically, so a process that reads it at the same time
// sees either the old or the new content.
func AddToken(path string, e TokenEntry) error {
	var f TokensFile
	doc, faults, err := config.ReadYAML(path, &f)
	if err != nil {
		return fmt.Errorf("read tokens: %w", err)
	}
	if len(faults) == 0 {
		f.Tokens = append(f.Tokens, e)
		faults = doc.Locate(f.Validate())
	}
	if len(faults) > 0 {
		return &FaultsError{Faults: faults}
	}
	b, err := yaml.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode tokens: %w", err)
	}
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return fmt.Errorf("write tokens: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("replace tokens: %w", err)
	}
	return nil
}
