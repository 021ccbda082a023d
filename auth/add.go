package auth

import (
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"turmericroute/config"
)

// FaultsError holds the faults of a tokens file.
type FaultsError struct{ Faults []config.Fault }

// Error returns the first fault and the number of all.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("%d faults in the tokens, first: %s", len(e.Faults), e.Faults[0])
}

// AddToken adds an entry to a tokens file. The file is replaced whole, so a
// process that reads it meanwhile sees the old or the new one.
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
