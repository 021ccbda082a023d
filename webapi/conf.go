package webapi

import (
	"fmt"
	"net/http"
	"strconv"

	"turmericroute/config"
	"turmericroute/model"
	"turmericroute/state"
)

// PatchResult is the response to an accepted patch.
type PatchResult struct {
	// Version is the configuration version that the patch made.
	Version uint64 `json:"version"`
	// Resent reports whether an earlier request with the same patch ID was accepted.
	Resent bool `json:"resent,omitempty"`
	// Shortages are the guarantees that cannot all hold until what is out of service returns.
	Shortages []string `json:"shortages,omitempty"`
}

// getConfig returns the current configuration, or the version in the history that ?version= selects.
func (a *api) getConfig(r *http.Request) (any, error) {
	version, selected, err := queryVersion(r, "version")
	if err != nil {
		return nil, err
	}
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	if !selected {
		return a.Replica.Machine().Config(), nil
	}
	cfg, ok := a.Replica.Machine().ConfigAt(version)
	if !ok {
		return nil, model.NotRun(model.CodeNotFound, "the history contains no version %d of the configuration", version)
	}
	return cfg, nil
}

// queryVersion returns the version number in the query parameter key; false when the query has none.
func queryVersion(r *http.Request, key string) (uint64, bool, error) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, false, model.NotRun(model.CodeInvalid, "%s must be a version number", key)
	}
	return n, true, nil
}

// HistoryPageSize bounds the patches in one response.
const HistoryPageSize = 256

// getHistory lists the patches accepted after ?since=version, oldest first, at
// most HistoryPageSize. After a full page there may be more.
func (a *api) getHistory(r *http.Request) (any, error) {
	since, _, err := queryVersion(r, "since")
	if err != nil {
		return nil, err
	}
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, err
	}
	out := []state.Record{}
	for _, rec := range a.Replica.Machine().History() {
		if rec.Version > since && len(out) < HistoryPageSize {
			out = append(out, rec)
		}
	}
	return out, nil
}

// patchConfig commits a patch that leaves the configuration valid. It returns the
// first response for a patch that was accepted before and refuses one for an older version.
func (a *api) patchConfig(r *http.Request) (any, error) {
	b, err := readBody(r, config.MaxPatchBytes)
	if err != nil {
		return nil, err
	}
	p, err := config.DecodePatch(b)
	if err != nil {
		return nil, fmt.Errorf("decode patch: %w", err)
	}
	addLogField(r.Context(), "patch", p.ID)
	addLogField(r.Context(), "reason", p.Reason)
	if a.Tokens != nil {
		// The history records the owner of the token, whatever author the patch names.
		p.Author = identityOf(r.Context()).Name
	}
	if err := a.readBarrier(r.Context()); err != nil {
		return nil, withUnknownOutcome(err)
	}
	version, known, failure := a.Replica.Machine().CheckPatch(p)
	switch {
	case known:
		return PatchResult{Version: version, Resent: true}, nil
	case failure != nil:
		return nil, failure
	}
	shortages, err := a.checkPatch(p)
	if err != nil {
		return nil, err
	}
	res, err := a.execute(r.Context(), state.PatchConfig{Patch: p, AtMS: a.Now().UnixMilli()})
	if err != nil {
		return nil, err
	}
	addLogField(r.Context(), "version", res.Version)
	return PatchResult{Version: res.Version, Shortages: shortages}, nil
}

// checkPatch validates the configuration that results from the patch. The check
// stays valid until the commit, since that requires the same base version. The
// error lists the guarantees that the declared racks cannot hold. Guarantees that
// fall short only because something is out of service are returned instead, since
// operators must be able to take a data centre out of service at any time.
func (a *api) checkPatch(p config.Patch) ([]string, error) {
	next, err := a.applyPatch(p)
	if err != nil {
		return nil, err
	}
	if a.CheckConfig == nil {
		return nil, nil
	}
	if shortages := a.CheckConfig(next.AllInService()); len(shortages) > 0 {
		e := model.NotRun(model.CodeImpossible, "the guarantees after the patch cannot all hold")
		e.Faults = shortages
		return nil, e
	}
	return a.CheckConfig(next), nil
}

// applyPatch returns the configuration that results from the patch; the error
// lists its faults when it is not valid.
func (a *api) applyPatch(p config.Patch) (config.Config, error) {
	current := a.Replica.Machine().Config()
	if current.Version != p.BaseVersion {
		e := model.NotRun(model.CodeStaleVersion, "patch is for version %d, current is %d", p.BaseVersion, current.Version)
		e.Version = current.Version
		return current, e
	}
	next, err := config.Apply(current, p)
	if err != nil {
		return current, fmt.Errorf("apply patch: %w", err)
	}
	if faults := config.Validate(next); len(faults) > 0 {
		return current, config.InvalidError("the configuration after the patch is not valid", faults)
	}
	return next, nil
}
