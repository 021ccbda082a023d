package webapi

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"turmericroute/auth"
	"turmericroute/model"
)

// Authenticator tells whose secret a caller presents; package auth implements it.
type Authenticator interface {
	Identify(secret string) (auth.Identity, bool)
}

// anonymous is the identity of callers while no tokens are set.
var anonymous = auth.Identity{Name: "anyone", Role: auth.RoleOperator}

type identityKey struct{}

// identityOf returns who sent the request.
func identityOf(ctx context.Context) auth.Identity {
	if id, ok := ctx.Value(identityKey{}).(auth.Identity); ok {
		return id
	}
	return anonymous
}

// authenticate finds out who sent the request.
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
		return auth.Identity{}, model.NotRun(model.CodeUnauthorised, "the token is not known")
	}
	return id, nil
}

// authorise identifies the caller and checks that a role is allowed; operators always are.
func (a *api) authorise(r *http.Request, roles []auth.Role) (*http.Request, error) {
	id, err := a.authenticate(r)
	if err != nil {
		return r, refusalBeforeLookup(r, err)
	}
	if note, ok := r.Context().Value(requestInfoKey{}).(*requestInfo); ok {
		note.identity = id
	}
	if id.Role != auth.RoleOperator && !slices.Contains(roles, id.Role) {
		return r, refusalBeforeLookup(r, model.NotRun(model.CodeForbidden, "tokens of the role %s may not do this", id.Role))
	}
	return r.WithContext(context.WithValue(r.Context(), identityKey{}, id)), nil
}

// checkSubject refuses workers and upstreams that name another one than themselves.
func checkSubject(r *http.Request, name string) error {
	id := identityOf(r.Context())
	if id.Role != auth.RoleOperator && id.Subject != name {
		return model.NotRun(model.CodeForbidden, "the token speaks for %s, not for %s", id.Subject, name)
	}
	return nil
}

// callerTeam returns the team that the caller is limited to, if any.
func callerTeam(ctx context.Context) (string, bool) {
	id := identityOf(ctx)
	return id.Subject, id.Role == auth.RoleTeam
}

// setTeamHeader makes the request one of the caller's own team.
func setTeamHeader(r *http.Request) error {
	team, limited := callerTeam(r.Context())
	if !limited {
		return nil
	}
	if named := r.Header.Get(HeaderTeam); named != "" && named != team {
		return model.NotRun(model.CodeForbidden, "the token speaks for team %s, not for %s", team, named)
	}
	r.Header.Set(HeaderTeam, team)
	return nil
}

// refusalBeforeLookup returns a refusal of a request before its ID or key was looked up.
// Where the request carries one, an earlier sending may have run.
func refusalBeforeLookup(r *http.Request, err error) error {
	submits := r.Method == http.MethodPost && (r.URL.Path == "/v1/jobs" || r.URL.Path == "/v1/config/patches")
	if submits || r.Header.Get("Idempotency-Key") != "" {
		return withUnknownOutcome(err)
	}
	return err
}
