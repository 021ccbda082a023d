package webapi

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"turmericroute/auth"
	"turmericroute/model"
)

// Authenticator maps the secret of a bearer token to an identity; package auth implements it.
type Authenticator interface {
	Identify(secret string) (auth.Identity, bool)
}

// anonymous is the identity of all callers when no tokens are configured; it may do everything.
var anonymous = auth.Identity{Name: "anyone", Role: auth.RoleOperator}

type identityKey struct{}

// identityOf returns the identity of the caller, or anonymous when ctx carries none.
func identityOf(ctx context.Context) auth.Identity {
	if id, ok := ctx.Value(identityKey{}).(auth.Identity); ok {
		return id
	}
	return anonymous
}

// authenticate returns the identity of the bearer token in the request; the error is a *model.Error.
func (a *api) authenticate(r *http.Request) (auth.Identity, error) {
	if a.Tokens == nil {
		return anonymous, nil
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return auth.Identity{}, model.NotRun(model.CodeUnauthorised, "the request carries no bearer token")
	}
	id, ok := a.Tokens.Identify(secret)
	if !ok {
		return auth.Identity{}, model.NotRun(model.CodeUnauthorised, "unknown bearer token")
	}
	return id, nil
}

// authorise authenticates the caller, checks that its role is one of roles or
// operator, and returns the request with the identity in its context.
func (a *api) authorise(r *http.Request, roles []auth.Role) (*http.Request, error) {
	id, err := a.authenticate(r)
	if err != nil {
		return r, refusalBeforeLookup(r, err)
	}
	if info, ok := r.Context().Value(requestInfoKey{}).(*requestInfo); ok {
		info.identity = id
	}
	if id.Role != auth.RoleOperator && !slices.Contains(roles, id.Role) {
		return r, refusalBeforeLookup(r, model.NotRun(model.CodeForbidden, "the role %s is not permitted to do this", id.Role))
	}
	return r.WithContext(context.WithValue(r.Context(), identityKey{}, id)), nil
}

// checkSubject returns an error when a worker or upstream acts under a name other than its own.
func checkSubject(r *http.Request, name string) error {
	id := identityOf(r.Context())
	if id.Role != auth.RoleOperator && id.Subject != name {
		return model.NotRun(model.CodeForbidden, "the token belongs to %s, not to %s", id.Subject, name)
	}
	return nil
}

// callerTeam returns the team that the caller is limited to; false when it is not limited to one.
func callerTeam(ctx context.Context) (string, bool) {
	id := identityOf(ctx)
	return id.Subject, id.Role == auth.RoleTeam
}

// setTeamHeader sets the team of the request to the team that the caller is
// limited to, and returns an error when the request names another one.
func setTeamHeader(r *http.Request) error {
	team, limited := callerTeam(r.Context())
	if !limited {
		return nil
	}
	if requested := r.Header.Get(HeaderTeam); requested != "" && requested != team {
		return model.NotRun(model.CodeForbidden, "the token belongs to team %s, not to %s", team, requested)
	}
	r.Header.Set(HeaderTeam, team)
	return nil
}

// refusalBeforeLookup returns err for a request that is refused before its ID or
// key is looked up. If the request can carry one, the outcome becomes unknown,
// since an earlier request with the same ID or key may have run.
func refusalBeforeLookup(r *http.Request, err error) error {
	mayHaveID := r.Method == http.MethodPost && (r.URL.Path == "/v1/jobs" || r.URL.Path == "/v1/config/patches")
	if mayHaveID || r.Header.Get("Idempotency-Key") != "" {
		return withUnknownOutcome(err)
	}
	return err
}
